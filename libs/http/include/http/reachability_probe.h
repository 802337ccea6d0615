#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <functional>

namespace pollen {

// Outcome of a connection attempt.
enum class probe_result {
    Accepted,
    // The instance is up, but nothing listens on the port.
    Refused,
    // No answer within the time-out, or a network error: the instance is down or cut off from this one.
    Unreachable,
};

// Checks whether an address accepts connections.
class reachability_probe {
public:
    virtual ~reachability_probe() = default;

    // Called from the event loop, within the time-out.
    using callback = std::function<void(probe_result result)>;
    virtual void startProbe(const endpoint& server, duration timeout, callback done) = 0;
};

} // namespace pollen
