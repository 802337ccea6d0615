#pragma once

#include <base/clock.h>
#include <functional>
#include <map>
#include <peer/state_exchange.h>
#include <set>
#include <vector>

namespace pollen {

// Delivers requests to the daemons of the test, unless they are down or silent.
class fake_network {
public:
    std::map<endpoint, state_exchange::state_source> sources;
    std::set<endpoint> down;
    std::set<endpoint> silent;
    // Pairs between which nothing arrives, in either direction.
    std::set<std::pair<endpoint, endpoint>> cuts;
    // Daemons whose replies arrive this much later.
    std::map<endpoint, duration> delays;
    int requests = 0;

    // Delivers the delayed replies that are due. Must be called regularly if there are delays.
    void deliver(time_point now)
    {
        m_now = now;
        while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
            const std::function<void()> reply = std::move(m_delayed.begin()->second);
            m_delayed.erase(m_delayed.begin());
            reply();
        }
    }
    void delay(duration time, std::function<void()> reply) { m_delayed.emplace(m_now + time, std::move(reply)); }

private:
    time_point m_now {};
    std::multimap<time_point, std::function<void()>> m_delayed;
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
        const auto state = reply.empty() ? std::nullopt : std::optional(reply);
        const auto delay = m_network.delays.find(peer);
        if (delay == m_network.delays.end())
            callback(state);
        else
            m_network.delay(delay->second, [callback, state] { callback(state); });
    }
    void setSource(state_source source) override { m_network.sources[m_self] = std::move(source); }

private:
    fake_network& m_network;
    endpoint m_self;
};

} // namespace pollen
