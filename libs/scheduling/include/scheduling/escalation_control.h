#pragma once

#include <algorithm>
#include <base/clock.h>

namespace pollen {

// Decides below which confidence the answer of a small model is dropped and the largest model is asked instead. Larger
// models take more of the engines' time, so the threshold falls while answers start late and rises while they start on
// time.
class escalation_control {
public:
    // Answers with at least this confidence, 0 to 1, are not escalated.
    double sufficientConfidence() const { return m_sufficientConfidence; }

    // expectedWait: until the largest model would start to answer; timeLeft: until its answer is late. A long wait
    // means that other requests queue behind this one, so a lower confidence is accepted.
    bool shouldEscalate(double confidence, duration expectedWait, duration timeLeft) const
    {
        if (timeLeft <= duration(0))
            return false;
        return confidence < m_sufficientConfidence * (1 - toSeconds(expectedWait) / toSeconds(timeLeft));
    }

    // Records whether an answer started on time.
    void countAnswer(bool onTime)
    {
        m_sufficientConfidence = std::clamp(m_sufficientConfidence + (onTime ? increaseWhenOnTime : -decreaseWhenLate),
            minimumConfidence, maximumConfidence);
    }

private:
    // The threshold is stable while one answer in six starts late.
    static constexpr double increaseWhenOnTime = 0.01;
    static constexpr double decreaseWhenLate = 0.05;
    static constexpr double minimumConfidence = 0.05;
    static constexpr double maximumConfidence = 0.5;

    double m_sufficientConfidence = maximumConfidence;
};

} // namespace pollen
