#pragma once

#include <base/clock.h>
#include <cstddef>
#include <map>
#include <optional>
#include <relay/rollout.h>
#include <string>
#include <utility>

namespace pollen {

// Learns for each kind of request how long its first byte takes: what a prompt token that has to be read costs, and the
// latency, against that of its prompt, that four of five stay below.
class latency_baseline {
public:
    // By name of the service and index of the model.
    using kind = std::pair<std::string, size_t>;

    // unreadTokens: prompt tokens that the server had to read. Normal while nothing is known.
    latency_grade grade(const kind& kind, duration latency, uint32_t unreadTokens) const;
    // The latency from which on it is very slow; none while nothing is known.
    std::optional<duration> verySlowThreshold(const kind& kind, uint32_t unreadTokens) const;
    void count(const kind& kind, duration latency, uint32_t unreadTokens);

private:
    struct estimate {
        double millisecondsPerToken = 0;
        // Of the latency divided by what the prompt makes usual.
        double slowRatio = 0;

        // Milliseconds that the prompt makes usual.
        double expected(uint32_t unreadTokens) const;
        double relative(duration latency, uint32_t unreadTokens) const;
    };

    std::map<kind, estimate> m_estimates;
};

} // namespace pollen
