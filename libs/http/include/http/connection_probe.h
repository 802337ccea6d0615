#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <functional>
#include <http/event_loop.h>
#include <map>
#include <memory>
#include <vector>

struct bufferevent;

namespace pollen {

// What a connection attempt shows of an address.
enum class probe_result {
    Accepted,
    // The instance answers, and nothing listens there.
    Refused,
    // No answer: the instance is down, or the network between is cut.
    Silent,
};

// Finds out whether an address accepts connections, without sending anything over them.
class connection_probe {
public:
    using callback = std::function<void(probe_result result)>;

    explicit connection_probe(event_loop& loop);
    ~connection_probe();
    connection_probe(const connection_probe&) = delete;
    connection_probe& operator=(const connection_probe&) = delete;

    // Tells within atMost, from the loop. Those who ask about one address at the same time share one connection.
    void ask(const endpoint& server, duration atMost, callback done);

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
