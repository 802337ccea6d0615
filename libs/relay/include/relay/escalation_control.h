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
    double sufficientConfidence() const { return m_sufficientConfidence; }

    // expectedWait: until the largest model would begin to answer; timeLeft: until its answer is late. A long wait
    // means that others wait behind this request too, so it takes less confidence to do without.
    bool shouldEscalate(double confidence, duration expectedWait, duration timeLeft) const
    {
        if (timeLeft <= duration(0))
            return false;
        return confidence < m_sufficientConfidence * (1 - toSeconds(expectedWait) / toSeconds(timeLeft));
    }

    // One answer has begun.
    void countAnswer(bool onTime)
    {
        m_sufficientConfidence = std::clamp(m_sufficientConfidence + (onTime ? increaseWhenOnTime : -decreaseWhenLate),
            minimumConfidence, maximumConfidence);
    }

private:
    // The bound settles where one answer in six begins late.
    static constexpr double increaseWhenOnTime = 0.01;
    static constexpr double decreaseWhenLate = 0.05;
    static constexpr double minimumConfidence = 0.05;
    static constexpr double maximumConfidence = 0.5;

    double m_sufficientConfidence = maximumConfidence;
};

} // namespace pollen
