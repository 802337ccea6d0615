#pragma once

#include <relay/relay_dependencies.h>

namespace pollen {

// Short, because another daemon can accept the request at once.
constexpr duration retryAfterStopping = std::chrono::milliseconds(50);

// An error answer by the router to a request that has not been sent to any server.
struct refusal {
    int status;
    const char* type;
    std::optional<duration> retryAfter;
    // The configuration does not allow the request; a newer one may.
    bool deniedByConfiguration = false;
    // The fleet state that the decision needs may arrive soon.
    bool awaitsFleetState = false;
};

// Result of admitting a request. If it is refused, the fields that were not determined keep their defaults.
struct admission {
    // Owns the route and the team.
    std::shared_ptr<const indexed_configuration> configuration;
    const relay_route* route = nullptr;
    // Null on routes that need no key.
    const relay_team* team = nullptr;
    time_point deadline {};
    // Hash of team, method, host, target and body. Identifies requests that are quarantined together.
    uint64_t fingerprint = 0;
    // Those of the parts of its prompt that other requests may share: all but the last.
    std::vector<uint64_t> parts;
    std::optional<refusal> refused;
};

// Determines the route and the team of a request, or why it is refused. Updates no metrics.
admission admit(const relay_dependencies& dependencies, const http_request& request, const request_traits& traits,
    time_point arrival);

} // namespace pollen
