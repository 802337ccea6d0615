#pragma once

#include <http/event_loop.h>
#include <http/reachability_probe.h>
#include <map>
#include <memory>
#include <vector>

struct bufferevent;

namespace pollen {

// Finds out whether an address accepts connections, without sending anything over them.
class connection_probe final : public reachability_probe {
public:
    explicit connection_probe(event_loop& loop);
    ~connection_probe() override;
    connection_probe(const connection_probe&) = delete;
    connection_probe& operator=(const connection_probe&) = delete;

    // Those who ask about one address at the same time share one connection.
    void ask(const endpoint& server, duration atMost, callback done) override;

private:
    struct probe {
        std::vector<callback> waiting;
        bufferevent* connection = nullptr;
    };

    void finish(const endpoint& server, probe_result result);

    event_loop& m_loop;
    std::map<endpoint, std::unique_ptr<probe>> m_probes;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
