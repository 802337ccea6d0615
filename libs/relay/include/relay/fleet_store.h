#pragma once

#include <functional>
#include <peer/peer_table.h>
#include <relay/crash_report.h>
#include <relay/rollout.h>
#include <relay/shared_topic.h>

namespace pollen {

// Where the daemons of a fleet read and write what all of them have to know.
class fleet_store {
public:
    virtual ~fleet_store() = default;

    // Publishes a state unless another daemon has published one that this daemon has not read yet. Reports true once
    // the state is known to be stored.
    using publish_callback = std::function<void(bool stored)>;
    virtual void publishRollout(const rollout_status& status, publish_callback callback) = 0;

    // Publishes a report; it may be lost.
    virtual void publishReport(const rollout_report& report) = 0;

    // Stores reports of requests under which servers ended, and drops those that no longer matter. Reports true once
    // all of it is known to be stored.
    using crash_callback = std::function<void(bool stored)>;
    virtual void publishCrashes(const std::vector<crash_report>& reports, const std::vector<crash_report_key>& outdated,
        crash_callback callback)
        = 0;

    // Reports and states of roll-outs are followed only while they are wanted.
    virtual void followReports(bool wanted) = 0;

    // Starts or stops isLeader; a daemon that does not read learns from others.
    virtual void setLeader(bool isLeader) = 0;

    // The view of the fleet, in an order that is the same in all daemons.
    virtual std::vector<shared_topic*> topics() = 0;

    // The daemons that have announced themselves, this one included; some may have gone.
    virtual std::vector<listed_peer> daemons() const = 0;
    // Their number.
    virtual size_t daemonCount() const = 0;
    // Whether the list of daemons has been read, which is done without being told to.
    virtual bool daemonsKnown() const = 0;
};

} // namespace pollen
