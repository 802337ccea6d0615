#pragma once

#include <relay/relay_dependencies.h>

namespace pollen {

// An answer of the router's own, before the request has gone anywhere.
struct refusal {
    int status;
    const char* type;
    std::optional<duration> retryAfter;
    // The daemon does not know its fleet yet.
    bool fleetStateMissing = false;
};

// Where a request belongs, as far as that was found out.
struct admission {
    // Keeps the route and the team alive.
    std::shared_ptr<const indexed_configuration> configuration;
    const relay_route* route = nullptr;
    // None on routes that anybody may use.
    const relay_team* team = nullptr;
    time_point deadline {};
    // The same for requests of the same team with the same method, host, target and body.
    uint64_t fingerprint = 0;
    std::optional<refusal> refused;
};

// Finds the route and the team of a request, or why it is refused. Counts nothing.
admission admit(
    const relay_dependencies& dependencies, const http_request& request, const request_traits& traits, time_point now);

} // namespace pollen
