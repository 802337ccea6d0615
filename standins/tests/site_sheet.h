#pragma once

#include <base/clock.h>
#include <cstdlib>
#include <stdexcept>
#include <string>

namespace pollen {

// Size and load of a site of real processes.
struct site_sheet {
    std::string name;
    size_t daemons = 0;
    size_t failureDomains = 0;
    // Servers of each of the two services.
    size_t servers = 0;
    size_t slots = 0;
    size_t queueLength = 0;
    duration work {};
    // Callers' requests in a second, and how many times as many in a rush.
    size_t requestsPerSecond = 0;
    size_t rushFactor = 1;
    // Longest pause between two disturbances.
    duration disturbancePause {};
    duration runTime {};

    friend bool operator==(const site_sheet&, const site_sheet&) = default;
};

// Throws std::invalid_argument for an unknown name.
inline site_sheet siteSheet(const std::string& name)
{
    using namespace std::chrono_literals;
    if (name == "small")
        return { name, 9, 4, 6, 6, 24, 60ms, 200, 4, 300ms, 15s };
    if (name == "large")
        return { name, 100, 6, 20, 6, 24, 60ms, 500, 4, 100ms, 30s };
    throw std::invalid_argument("no such site: " + name);
}

} // namespace pollen
