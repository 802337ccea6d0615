#include <relay/relay_gateway.h>

#include "relay_exchange.h"

namespace pollen {

relay_gateway::relay_gateway(relay_dependencies& dependencies)
    : m_dependencies(dependencies)
    , m_alive(std::make_shared<bool>(true))
{
}

relay_gateway::~relay_gateway() = default;

void relay_gateway::handle(const std::shared_ptr<server_request>& request)
{
    const auto exchange = std::make_shared<relay_exchange>(m_dependencies, request);
    m_open.insert(exchange);
    // The exchange ends inside its own code, so the loop lets go of it later.
    exchange->start([this, weak = std::weak_ptr(exchange)] {
        m_dependencies.loop.post([this, weak, alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                m_open.erase(weak.lock());
        });
    });
}

bool relay_gateway::ready() const
{
    const relay_state& state = m_dependencies.state;
    return !m_draining && state.configuration() && state.serversKnown()
        && !state.keysOutdated(m_dependencies.time.now());
}

} // namespace pollen
