#pragma once

#include <algorithm>
#include <base/clock.h>
#include <cstdint>

namespace pollen {

// Bounds the log lines about requests, so that their number does not grow with the load.
class log_budget {
public:
    // perSecond: lines on average; as many may be saved up.
    explicit log_budget(double perSecond)
        : m_perSecond(perSecond)
        , m_saved(perSecond)
    {
    }

    // Takes one line out of the budget; false when it is spent.
    bool take(time_point now)
    {
        m_saved = std::min(m_perSecond, m_saved + toSeconds(now - m_last) * m_perSecond);
        m_last = now;
        if (m_saved < 1) {
            ++m_dropped;
            return false;
        }
        m_saved -= 1;
        return true;
    }

    uint64_t dropped() const { return m_dropped; }

private:
    double m_perSecond;
    double m_saved;
    time_point m_last {};
    uint64_t m_dropped = 0;
};

} // namespace pollen
