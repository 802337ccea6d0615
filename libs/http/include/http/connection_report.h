#pragma once

#include <array>
#include <base/logger.h>
#include <http/connection_budget.h>
#include <string>

namespace pollen {

// Tells operators of the limits over all connections: metrics, and at most one log line in reportInterval.
class connection_report {
public:
    static constexpr duration reportInterval = std::chrono::seconds(1);

    // listeners: the listeners that share the budget, as written to the log.
    connection_report(const connection_budget& budget, logger& log, std::string listeners = "callers")
        : m_budget(budget)
        , m_log(log)
        , m_listeners(std::move(listeners))
    {
    }

    // Logs what was done at a limit since the last line, if anything was.
    void tick(time_point now);

    // Prometheus text format.
    std::string renderMetrics() const;

private:
    const connection_budget& m_budget;
    logger& m_log;
    std::string m_listeners;
    std::array<uint64_t, limitActionCount> m_reported {};
    time_point m_next {};
};

} // namespace pollen
