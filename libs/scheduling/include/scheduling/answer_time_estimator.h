#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <unordered_map>

namespace pollen {

// Learns how long the answers of the largest models take from the first byte to the last per token that the caller
// expects, as the 80th percentile.
class answer_time_estimator {
public:
    // Records an answer that took `elapsed`, or at least that long if it timed out.
    void count(const service_name& service, uint32_t expectedTokens, duration elapsed);

    // Zero while no answer has been recorded.
    duration estimate(const service_name& service, uint32_t expectedTokens) const;

private:
    std::unordered_map<service_name, double> m_secondsPerToken;
};

} // namespace pollen
