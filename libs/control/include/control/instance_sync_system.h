#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <fleet/fleet_tables.h>
#include <memory>
#include <peer/peer_table.h>
#include <platform/instance_directory.h>

namespace pollen {

// Synchronizes the tables of backend servers and peers with the platform's instance list. Keeps the last list while the
// directory is unavailable.
class instance_sync_system final : public fleet_system {
public:
    instance_sync_system(instance_directory& directory, fleet_tables& tables, peer_table& peers, logger& logger);

    void tick(time_point now) override;

    // Time of the last successful directory read; the epoch before the first.
    time_point lastListTime() const { return m_lastListTime; }

private:
    void onList(const std::vector<listed_instance>& list);

    instance_directory& m_directory;
    fleet_tables& m_tables;
    peer_table& m_peers;
    logger& m_logger;
    time_point m_nextRead {};
    time_point m_lastListTime {};
    bool m_reading = false;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
