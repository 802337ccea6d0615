#pragma once

#include <relay/fleet_store.h>

namespace pollen {

// Records everything that is published. The test sets whether it is stored and whether callbacks are called.
class fake_fleet_store : public fleet_store {
public:
    void publishRollout(const rollout_status& status, publish_callback callback) override
    {
        published.push_back(status);
        if (answers)
            callback(stores);
        else
            waiting = std::move(callback);
    }
    void publishReport(const rollout_group_report& report) override { reports.push_back(report); }
    void publishCrashes(const std::vector<crash_report>& crashes, const std::vector<crash_report_key>& outdated,
        crash_callback callback) override
    {
        crashReports.insert(crashReports.end(), crashes.begin(), crashes.end());
        droppedCrashes.insert(droppedCrashes.end(), outdated.begin(), outdated.end());
        callback(stores);
    }
    void followReports(bool wanted) override { following = wanted; }
    void setLeader(bool leader) override { isLeader = leader; }
    void readOnce(size_t) override { ++readsOnce; }
    bool isReachable() const override { return reachable; }
    bool serversReachable() const override { return readsServers; }
    std::vector<shared_topic*> topics() override { return shared; }
    std::vector<listed_peer> daemons() const override { return listed; }
    size_t daemonCount() const override { return listed.size(); }
    bool daemonsKnown() const override { return true; }

    std::vector<rollout_status> published;
    std::vector<rollout_group_report> reports;
    std::vector<crash_report> crashReports;
    std::vector<crash_report_key> droppedCrashes;
    publish_callback waiting;
    std::vector<shared_topic*> shared;
    std::vector<listed_peer> listed;
    bool answers = true;
    bool stores = true;
    bool following = false;
    bool isLeader = false;
    bool reachable = true;
    bool readsServers = true;
    int readsOnce = 0;
};

} // namespace pollen
