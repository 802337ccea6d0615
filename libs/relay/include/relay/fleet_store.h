#pragma once

#include <functional>
#include <peer/peer_table.h>
#include <relay/crash_report.h>
#include <relay/rollout.h>
#include <relay/shared_topic.h>

namespace pollen {

// The store through which the daemons of a fleet share their state.
class fleet_store {
public:
    virtual ~fleet_store() = default;

    // Publishes a state unless another daemon has published one that this daemon has not read yet. Reports true once
    // the state is known to be stored.
    using publish_callback = std::function<void(bool stored)>;
    virtual void publishRollout(const rollout_status& status, publish_callback callback) = 0;

    // Publishes the reports of a group; they may be lost.
    virtual void publishReport(const rollout_group_report& report) = 0;

    // Stores reports of requests that crashed servers, and deletes outdated ones. Reports true once all of it is known
    // to be stored.
    using crash_callback = std::function<void(bool stored)>;
    virtual void publishCrashes(const std::vector<crash_report>& reports, const std::vector<crash_report_key>& outdated,
        crash_callback callback)
        = 0;

    // Starts or stops following the reports and states of roll-outs.
    virtual void followReports(bool wanted) = 0;

    // False while reads of the configuration fail or are overdue. Only meaningful for a leader.
    virtual bool isReachable() const = 0;

    // The same for the reads of the backend servers' entries.
    virtual bool serversReachable() const = 0;

    // Starts or stops reading the store; a daemon that is not a leader syncs with other daemons instead.
    virtual void setLeader(bool isLeader) = 0;

    // Reads one of the topics from the store until it is current, also while this daemon is not a leader. topic: index
    // in topics().
    virtual void readOnce(size_t topic) = 0;

    // The fleet state, in an order that is the same in all daemons.
    virtual std::vector<shared_topic*> topics() = 0;

    // The daemons that have announced themselves, including this one; some may have stopped since.
    virtual std::vector<listed_peer> daemons() const = 0;
    virtual size_t daemonCount() const = 0;
    // Whether the list of daemons has been read; it is read at the start, also by a daemon that is not a leader.
    virtual bool daemonsKnown() const = 0;
};

} // namespace pollen
