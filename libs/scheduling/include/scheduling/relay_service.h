#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <cstdint>
#include <optional>

namespace pollen {

// Capacity of each server of an engine service.
struct engine_limits {
    uint32_t slots = 0;
    // Capacity of the prompt cache, in tokens.
    uint64_t cacheTokens = 0;

    friend bool operator==(const engine_limits&, const engine_limits&) = default;
};

struct relay_service {
    service_name name;
    // Connections that one server accepts, summed over all daemons.
    uint32_t maximumConnections = 0;
    std::optional<engine_limits> engine;
    // How long a server is cold after its start, and the requests a second that it takes meanwhile from all daemons
    // together; zero for a service without a warm-up.
    duration warmUpTime { 0 };
    double coldRequestsPerSecond = 0;

    friend bool operator==(const relay_service&, const relay_service&) = default;
};

} // namespace pollen
