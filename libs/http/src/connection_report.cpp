#include <http/connection_report.h>

#include <utility>

namespace pollen {

namespace {

std::string gauge(const std::string& name, const std::string& help, size_t value)
{
    return "# HELP " + name + ' ' + help + "\n# TYPE " + name + " gauge\n" + name + ' ' + std::to_string(value) + '\n';
}

} // namespace

void connection_report::tick(time_point now)
{
    if (now < m_next)
        return;
    m_next = now + reportInterval;
    std::string actions;
    for (size_t i = 0; i < limitActionCount; ++i) {
        const auto action = static_cast<limit_action>(i);
        const uint64_t added = m_budget.count(action) - std::exchange(m_reported[i], m_budget.count(action));
        if (added == 0)
            continue;
        actions += (actions.empty() ? "" : ", ") + std::string(toText(action)) + ' ' + std::to_string(added);
    }
    if (actions.empty())
        return;
    m_log.write(log_level::Warning, "connection_limit_reached",
        { { "listeners", m_listeners }, { "actions", actions },
            { "connections", static_cast<int64_t>(m_budget.connections()) },
            { "request_bytes", static_cast<int64_t>(m_budget.requestBytes()) },
            { "response_bytes", static_cast<int64_t>(m_budget.responseBytes()) } });
}

std::string connection_report::renderMetrics() const
{
    const std::string name = "pollen_connection_limit_actions_total";
    std::string text = gauge("pollen_connections", "Accepted connections that are open", m_budget.connections())
        + gauge("pollen_connection_request_bytes", "Bytes held for requests", m_budget.requestBytes())
        + gauge("pollen_connection_response_bytes", "Bytes of responses not read", m_budget.responseBytes());
    text += "# HELP " + name + " Refused requests and closed connections\n# TYPE " + name + " counter\n";
    for (size_t i = 0; i < limitActionCount; ++i) {
        const auto action = static_cast<limit_action>(i);
        text += name + "{action=\"" + toText(action) + "\"} " + std::to_string(m_budget.count(action)) + '\n';
    }
    return text;
}

} // namespace pollen
