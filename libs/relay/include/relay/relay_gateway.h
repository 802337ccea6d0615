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

    // Looks for servers that have fallen silent while they run requests.
    void tick(time_point now);

    // Readiness: the fleet is known, keys can be trusted, and the daemon is not stopping.
    bool ready() const;
    void setDraining() { m_draining = true; }

    // From now on new requests are refused, so that those in flight can end in time.
    void refuseNewRequests() { m_refusing = true; }

    // Requests that are not finished.
    size_t openRequests() const { return m_open.size(); }

private:
    relay_dependencies& m_dependencies;
    std::shared_ptr<bool> m_alive;
    bool m_draining = false;
    bool m_refusing = false;
    std::set<std::shared_ptr<relay_exchange>> m_open;
};

} // namespace pollen
