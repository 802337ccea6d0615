#pragma once

#include <algorithm>
#include <base/clock.h>
#include <cstdint>

namespace pollen {

// Token bucket that limits log lines about requests, so that their number does not grow with the load.
class log_budget {
public:
    // linesPerSecond: average rate, and also the burst size in lines.
    explicit log_budget(double linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
        , m_available(linesPerSecond)
    {
    }

    // Consumes one line; returns false if the budget is used up.
    bool take(time_point now)
    {
        m_available = std::min(m_linesPerSecond, m_available + toSeconds(now - m_lastRefill) * m_linesPerSecond);
        m_lastRefill = now;
        if (m_available < 1) {
            ++m_droppedLines;
            return false;
        }
        m_available -= 1;
        return true;
    }

    uint64_t droppedLines() const { return m_droppedLines; }

private:
    double m_linesPerSecond;
    double m_available;
    time_point m_lastRefill {};
    uint64_t m_droppedLines = 0;
};

} // namespace pollen
