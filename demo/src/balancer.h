#pragma once

#include "demo_plan.h"

#include <base/random_source.h>
#include <http/http_client.h>
#include <optional>

namespace pollen {

// One moment at which a daemon was first seen with a configuration version.
struct version_sighting {
    std::string daemon;
    uint64_t version = 0;
    int64_t timeMilliseconds = 0;
    // The daemon had shown a higher version before.
    bool reverted = false;
};

// Stands for the platform's balancer: sends requests to daemons that report ready. Also notes when each daemon shows
// each configuration version.
class balancer {
public:
    balancer(event_loop& loop, http_client& client, const planned_fleet& fleet, random_source& random);

    // A ready daemon, or none. avoid: index that just failed, or -1.
    std::optional<size_t> pick(int avoid);

    const std::vector<version_sighting>& sightings() const { return m_sightings; }

private:
    void poll();
    void pollStatus(size_t index);

    http_client& m_client;
    const planned_fleet& m_fleet;
    random_source& m_random;
    timer m_timer;
    std::vector<bool> m_ready;
    std::vector<uint64_t> m_versions;
    std::vector<version_sighting> m_sightings;
    int m_turn = 0;
};

} // namespace pollen
