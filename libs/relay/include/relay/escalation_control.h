#pragma once

#include <algorithm>
#include <base/clock.h>

namespace pollen {

// Decides below which confidence in its own answer a small model's answer is dropped and the largest model asked.
// Larger models take more of the engines' time, so the bound falls while answers begin late and rises again while they
// are on time.
class escalation_control {
public:
    // Confidence, 0 to 1, that is enough.
    double sufficientConfidence() const { return m_bound; }

    // expectedWait: until the largest model would begin to answer; left: until its answer is late. A long wait means
    // that others wait behind this request too, so it takes less confidence to do without.
    bool isWorthAsking(double confidence, duration expectedWait, duration left) const
    {
        if (left <= duration(0))
            return false;
        return confidence < m_bound * (1 - toSeconds(expectedWait) / toSeconds(left));
    }

    // One answer has begun.
    void countAnswer(bool onTime) { m_bound = std::clamp(m_bound + (onTime ? rise : -fall), lowest, highest); }

private:
    // The bound settles where one answer in six begins late.
    static constexpr double rise = 0.01;
    static constexpr double fall = 0.05;
    static constexpr double lowest = 0.05;
    static constexpr double highest = 0.5;

    double m_bound = highest;
};

} // namespace pollen
