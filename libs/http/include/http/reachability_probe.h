#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <functional>

namespace pollen {

// What a connection attempt shows of an address.
enum class probe_result {
    Accepted,
    // The instance answers, and nothing listens there.
    Refused,
    // No answer: the instance is down, or the network between is cut.
    Unreachable,
};

// Finds out what becomes of connections to an address.
class reachability_probe {
public:
    virtual ~reachability_probe() = default;

    // Tells within timeout, from the loop.
    using callback = std::function<void(probe_result result)>;
    virtual void startProbe(const endpoint& server, duration timeout, callback done) = 0;
};

} // namespace pollen
