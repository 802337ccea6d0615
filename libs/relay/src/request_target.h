#pragma once

#include <relay/relay_dependencies.h>

namespace pollen {

// Requests with the same key belong to the same session and keep their version.
uint64_t sessionKey(const request_traits& traits);

// Selects the service by the weights of the route, and the version by the state of its roll-out and by the session.
// model: index among the models of the route. start: when the request arrived.
placement_request makePlacementRequest(const relay_dependencies& dependencies, const relay_route& route,
    const request_traits& traits, size_t model, time_point start);

} // namespace pollen
