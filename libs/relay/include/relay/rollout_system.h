#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <map>
#include <memory>
#include <relay/fleet_store.h>
#include <relay/rollout_table.h>
#include <relay/rollout_verdict.h>

namespace pollen {

// Takes roll-outs through their stages. Every daemon adds up the reports of all and comes to the same verdict; the one
// with the lowest id among those heard lately tells the operators.
class rollout_system final : public fleet_system {
public:
    rollout_system(
        rollout_table& table, fleet_store& store, const instance_id& self, uint64_t incarnation, logger& log);

    void tick(time_point now) override;

    // Takes in a report of any daemon.
    void hear(const rollout_report& report, time_point now);

    // One answer of a server in a service whose roll-out is running.
    void countAnswer(const service_name& service, const version_name& version, bool good, bool slow);
    // A request starts or ends on a server of a version that is not the target.
    void addOther(const service_name& service) { ++m_othersRunning[service]; }
    void removeOther(const service_name& service) { --m_othersRunning[service]; }

private:
    struct heard_report {
        rollout_report report;
        time_point heard;
    };

    bool isLeader(const service_name& service, time_point now) const;
    void beginCounting(const rollout_row& row);
    void addUp(rollout_row& row);
    void advance(rollout_row& row, time_point now);
    static bool reportedSince(const rollout_row& row, time_point now);
    void report(const rollout_row& row, time_point now);
    void publish(const rollout_row& row, rollout_state state, time_point now);

    rollout_table& m_table;
    fleet_store& m_store;
    instance_id m_self;
    uint64_t m_incarnation;
    logger& m_log;
    std::map<service_name, version_answers> m_ownTarget;
    std::map<service_name, version_answers> m_ownOthers;
    std::map<service_name, uint64_t> m_othersRunning;
    std::map<service_name, version_name> m_countedTarget;
    std::map<std::pair<instance_id, service_name>, heard_report> m_heard;
    time_point m_nextReport {};
    time_point m_nextPublish {};
    std::shared_ptr<bool> m_publishing;
};

} // namespace pollen
