#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <memory>
#include <relay/crash_table.h>
#include <relay/fleet_store.h>

namespace pollen {

// Publishes the crash reports of a group of daemons to the store, for other groups and for daemons that start later.
// The members of the group send their reports to the leader.
class crash_publisher final : public fleet_system {
public:
    crash_publisher(crash_table& table, fleet_store& store, const clock& time, logger& log);

    void tick(time_point now) override;

    // Only the leader of a group writes to the store.
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
