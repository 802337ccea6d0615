#pragma once

#include <algorithm>
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
    // Bytes per second of each daemon's link, over which its replies follow one another; 0 if links take no time.
    double linkBytesPerSecond = 0;
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
    // Time until the link of the daemon has carried so many bytes behind those that it carries already.
    duration timeOnLink(const endpoint& daemon, size_t bytes)
    {
        if (linkBytesPerSecond <= 0)
            return duration(0);
        time_point& busyUntil = m_busyUntil[daemon];
        const std::chrono::duration<double> time(static_cast<double>(bytes) / linkBytesPerSecond);
        busyUntil = std::max(busyUntil, m_now) + std::chrono::duration_cast<duration>(time);
        return busyUntil - m_now;
    }

private:
    time_point m_now {};
    std::map<endpoint, time_point> m_busyUntil;
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
        const duration time = m_network.timeOnLink(peer, reply.size())
            + (delay == m_network.delays.end() ? duration(0) : delay->second);
        if (time == duration(0))
            callback(state);
        else
            m_network.delay(time, [callback, state] { callback(state); });
    }
    void setSource(state_source source) override { m_network.sources[m_self] = std::move(source); }

private:
    fake_network& m_network;
    endpoint m_self;
};

} // namespace pollen
