#pragma once

#include <http/event_loop.h>
#include <http/reachability_probe.h>
#include <map>
#include <memory>
#include <vector>

struct bufferevent;

namespace pollen {

// Checks whether an address accepts TCP connections, without sending any data.
class connection_probe final : public reachability_probe {
public:
    explicit connection_probe(event_loop& loop);
    ~connection_probe() override;
    connection_probe(const connection_probe&) = delete;
    connection_probe& operator=(const connection_probe&) = delete;

    // Concurrent probes of one address share one connection attempt and the time-out of the first.
    void startProbe(const endpoint& server, duration timeout, callback done) override;

private:
    struct pending_probe {
        std::vector<callback> callbacks;
        bufferevent* connection = nullptr;
    };

    void finish(const endpoint& server, probe_result result);

    event_loop& m_loop;
    std::map<endpoint, std::unique_ptr<pending_probe>> m_pendingProbes;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
