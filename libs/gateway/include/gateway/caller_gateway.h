#pragma once

#include <gateway/gateway_dependencies.h>
#include <http/http_server.h>
#include <set>

namespace pollen {

class caller_exchange;

// Serves callers: chat completions, the list of models and routed services.
class caller_gateway {
public:
    explicit caller_gateway(gateway_dependencies& dependencies);
    ~caller_gateway();
    caller_gateway(const caller_gateway&) = delete;
    caller_gateway& operator=(const caller_gateway&) = delete;

    // Handles one request. Every request gets exactly one answer.
    void handle(const std::shared_ptr<server_request>& request);

    // Readiness: false before the first configuration is applied and while draining.
    bool ready() const { return !draining() && m_dependencies.tables.document(); }
    // The instance stops at the given time. New requests are taken only if their deadline lies before it.
    void setDraining(time_point stopsAt) { m_dependencies.stopsAt = stopsAt; }
    bool draining() const { return m_dependencies.stopsAt.has_value(); }

    // Fails the requests that are still open, so that each gets an answer before the instance stops.
    void endOpenRequests();

    // Number of unfinished requests, including non-repeatable calls that continue after their caller disconnected.
    size_t openRequests() const { return m_openExchanges.size(); }

private:
    request_id nextRequestId();
    void dispatch(const std::shared_ptr<server_request>& request, const request_id& id);
    void listModels(server_request& request, const request_id& id);
    void start(const std::shared_ptr<caller_exchange>& exchange);

    gateway_dependencies& m_dependencies;
    std::shared_ptr<bool> m_alive;
    std::string m_idPrefix;
    uint64_t m_idCounter = 0;
    std::set<std::shared_ptr<caller_exchange>> m_openExchanges;
};

} // namespace pollen
