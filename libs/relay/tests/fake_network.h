#pragma once

#include <map>
#include <peer/state_exchange.h>
#include <set>

namespace pollen {

// Delivers requests to the daemons of the test, unless they are down or silent.
class fake_network {
public:
    std::map<endpoint, state_exchange::state_source> sources;
    std::set<endpoint> down;
    std::set<endpoint> silent;
    // Pairs between which nothing arrives, in either direction.
    std::set<std::pair<endpoint, endpoint>> cuts;
    int requests = 0;
};

class fake_exchange final : public state_exchange {
public:
    fake_exchange(fake_network& network, const endpoint& self)
        : m_network(network)
        , m_self(self)
    {
    }
    void fetch(const endpoint& peer, const std::string& request, state_callback callback) override
    {
        ++m_network.requests;
        if (m_network.silent.contains(peer) || m_network.cuts.contains({ m_self, peer })
            || m_network.cuts.contains({ peer, m_self }))
            return;
        const std::string reply = m_network.down.contains(peer) ? "" : m_network.sources[peer](request);
        callback(reply.empty() ? std::nullopt : std::optional(reply));
    }
    void setSource(state_source source) override { m_network.sources[m_self] = std::move(source); }

private:
    fake_network& m_network;
    endpoint m_self;
};

} // namespace pollen
