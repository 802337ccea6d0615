#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <unordered_map>

namespace pollen {

// Learns how long the answers of the largest models take from their first byte to their last, for each token that the
// caller expects. Keeps a value that four answers in five stay below.
class answer_time_estimator {
public:
    // An answer took this long, or at least this long if its time ran out.
    void count(const service_name& service, uint32_t expectedTokens, duration elapsed);

    // Zero while no answer has been seen.
    duration estimate(const service_name& service, uint32_t expectedTokens) const;

private:
    std::unordered_map<service_name, double> m_secondsPerToken;
};

} // namespace pollen
