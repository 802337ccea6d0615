#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <memory>
#include <relay/crash_table.h>
#include <relay/fleet_store.h>

namespace pollen {

// Stores what the daemons of a group know of requests under which servers ended, for the daemons of other groups and
// for those that start later. The daemons of the group hand their reports to the one that reads the store.
class crash_publisher final : public fleet_system {
public:
    crash_publisher(crash_table& table, fleet_store& store, const clock& time, logger& log);

    void tick(time_point now) override;

    // Whether this daemon reads the store and so writes for its group.
    void setLeader(bool isLeader) { m_isLeader = isLeader; }

private:
    void logQuarantines();
    void publish();

    crash_table& m_table;
    fleet_store& m_store;
    const clock& m_time;
    logger& m_log;
    bool m_isLeader = true;
    bool m_isPublishing = false;
    time_point m_nextPublish {};
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
