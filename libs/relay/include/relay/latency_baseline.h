#pragma once

#include <base/clock.h>
#include <cstddef>
#include <map>
#include <optional>
#include <relay/rollout.h>
#include <string>
#include <utility>

namespace pollen {

// Learns the usual time to the first byte for each kind of request: the cost of an uncached prompt token, and the 80th
// percentile of the latency relative to that expected for the prompt.
class latency_baseline {
public:
    // Service name and index of the model.
    using kind = std::pair<std::string, size_t>;

    // unreadTokens: prompt tokens that the server had to process. Normal while nothing is known.
    latency_grade grade(const kind& kind, duration latency, uint32_t unreadTokens) const;
    // The latency above which a first byte is very slow; none while nothing is known.
    std::optional<duration> verySlowThreshold(const kind& kind, uint32_t unreadTokens) const;
    void count(const kind& kind, duration latency, uint32_t unreadTokens);

private:
    struct estimate {
        double millisecondsPerToken = 0;
        // Ratio of the latency to that expected for the prompt above which a first byte is slow.
        double slowRatio = 0;

        // Expected latency in milliseconds.
        double expected(uint32_t unreadTokens) const;
        double relative(duration latency, uint32_t unreadTokens) const;
    };

    std::map<kind, estimate> m_estimates;
};

} // namespace pollen
