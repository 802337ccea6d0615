#pragma once

#include <http/http_server.h>
#include <relay/relay_dependencies.h>
#include <set>

namespace pollen {

class relay_exchange;

// Relays requests of any method and path to the backend servers of their routes.
class relay_gateway {
public:
    explicit relay_gateway(relay_dependencies& dependencies);
    ~relay_gateway();
    relay_gateway(const relay_gateway&) = delete;
    relay_gateway& operator=(const relay_gateway&) = delete;

    // Handles one request. Every request gets exactly one answer.
    void handle(const std::shared_ptr<server_request>& request);

    // Runs the timers of all open requests: waits, first-byte timing and checks for silent servers.
    void tick(time_point now);

    // Ready to accept requests: the fleet state is known, keys can be checked, and the daemon is not shutting down.
    bool ready() const;

    // The daemon stops at the given time. New requests are taken only if their deadline lies before it.
    void setDraining(time_point stopsAt) { m_stopsAt = stopsAt; }

    // Refuses all new requests, so that those in flight can finish before the daemon exits.
    void refuseNewRequests() { m_refusing = true; }

    // Answers the requests that are still in flight: those that have not run are refused, the others fail, and streams
    // break off.
    void endOpenRequests();

    // Number of requests that are still in flight.
    size_t openRequests() const { return m_open.size(); }

private:
    relay_dependencies& m_dependencies;
    std::shared_ptr<bool> m_alive;
    std::optional<time_point> m_stopsAt;
    bool m_refusing = false;
    std::set<std::shared_ptr<relay_exchange>> m_open;
};

} // namespace pollen
