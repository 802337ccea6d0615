#pragma once

#include <algorithm>
#include <base/clock.h>

namespace pollen {

// Grants tokens at a rate that may change; unused ones accumulate up to a capacity. Starts empty, so that a daemon that
// restarts grants nothing in addition.
class token_bucket {
public:
    explicit token_bucket(time_point now)
        : m_updated(now)
    {
    }

    // Adds the tokens of the time since the last call. rate: tokens a second.
    void refill(double rate, double capacity, time_point now)
    {
        const double passed = toSeconds(std::max(now - m_updated, duration(0)));
        m_tokens = std::min(capacity, m_tokens + rate * passed);
        m_updated = std::max(m_updated, now);
    }

    // Takes one token; returns false if there is none.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    double tokens() const { return m_tokens; }

private:
    double m_tokens = 0;
    time_point m_updated;
};

} // namespace pollen
