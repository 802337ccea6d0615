#include <relay/relay_gateway.h>

#include "admission.h"
#include "relay_exchange.h"

namespace pollen {

namespace {

constexpr int statusUnavailable = 503;

} // namespace

relay_gateway::relay_gateway(relay_dependencies& dependencies)
    : m_dependencies(dependencies)
    , m_alive(std::make_shared<bool>(true))
{
}

relay_gateway::~relay_gateway()
{
    // Caller connections may hold references to exchanges after the dependencies have been destroyed.
    for (const auto& exchange : m_open)
        exchange->abandon();
}

void relay_gateway::handle(const std::shared_ptr<server_request>& request)
{
    if (m_refusing) {
        request->reply(statusUnavailable,
            { { "Content-Type", "application/json" },
                { "Retry-After", std::to_string(toSeconds(retryAfterStopping)) } },
            "{\"error\":{\"run\":\"not_run\",\"type\":\"stopping\"}}\n");
        m_dependencies.metrics.countOutcome("", "", "refused", "stopping");
        return;
    }
    const auto exchange = std::make_shared<relay_exchange>(m_dependencies, request);
    m_open.insert(exchange);
    // The callback runs inside the exchange's own code, so the exchange is released later by the event loop.
    exchange->start(
        [this, weak = std::weak_ptr(exchange)] {
            m_dependencies.loop.post([this, weak, alive = std::weak_ptr<bool>(m_alive)] {
                if (!alive.expired())
                    m_open.erase(weak.lock());
            });
        },
        m_stopsAt);
}

void relay_gateway::endOpenRequests()
{
    for (const auto& exchange : std::set(m_open))
        exchange->endWithDaemon();
}

void relay_gateway::tick(time_point now)
{
    for (const auto& exchange : m_open)
        exchange->tick(now);
}

bool relay_gateway::ready() const
{
    const relay_state& state = m_dependencies.state;
    return !m_stopsAt && state.configuration() && state.serversKnown()
        && !state.keysOutdated(m_dependencies.time.now());
}

} // namespace pollen
