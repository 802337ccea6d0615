#pragma once

#include <base/endpoint.h>
#include <functional>
#include <optional>
#include <string>

namespace pollen {

// Fetches the fleet state from another daemon, for a daemon that does not read the store itself.
class state_exchange {
public:
    virtual ~state_exchange() = default;

    // Reports the peer's state, or none when the peer does not answer, has none or fails authentication. Called once,
    // never from inside fetch().
    using state_callback = std::function<void(const std::optional<std::string>&)>;
    virtual void fetch(const endpoint& peer, const std::string& request, state_callback callback) = 0;

    // Produces this daemon's reply to a request; empty while it has no state.
    using state_source = std::function<std::string(const std::string& request)>;
    virtual void setSource(state_source source) = 0;
};

// For an instance without peers.
class null_state_exchange final : public state_exchange {
public:
    void fetch(const endpoint&, const std::string&, state_callback) override { }
    void setSource(state_source) override { }
};

} // namespace pollen
