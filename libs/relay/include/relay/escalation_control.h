#pragma once

#include <algorithm>

namespace pollen {

// Decides below which confidence in its own answer a small model's answer is dropped and the largest model asked.
// Larger models take more of the engines' time, so the bound falls while answers begin late and rises again while they
// are on time.
class escalation_control {
public:
    // Confidence, 0 to 1, that is enough.
    double sufficientConfidence() const { return m_bound; }

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
