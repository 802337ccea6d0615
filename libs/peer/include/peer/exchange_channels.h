#pragma once

#include <map>
#include <memory>
#include <peer/state_exchange.h>

namespace pollen {

// Lets several systems of a daemon share one exchange. Requests of a channel begin with its prefix, by which the
// receiving daemon finds the channel's source. Requests without a known prefix belong to the channel without one.
class exchange_channels {
public:
    // exchange: must outlive this object and its channels.
    explicit exchange_channels(state_exchange& exchange);

    // prefix: must not begin a request of another channel. The channel lives as long as this object.
    state_exchange& open(const std::string& prefix);

private:
    class channel;

    std::string reply(const std::string& request) const;

    state_exchange& m_exchange;
    std::map<std::string, std::unique_ptr<state_exchange>> m_channels;
    std::map<std::string, state_exchange::state_source> m_sources;
};

} // namespace pollen
