#pragma once

#include <base/clock.h>
#include <cstddef>
#include <map>
#include <optional>
#include <relay/rollout.h>
#include <string>
#include <utility>
#include <vector>

namespace pollen {

// Learns the undisturbed time between the events of streams for each kind of request. Load on a server only lengthens
// it, so the fastest quarter of the streams shows what the version itself needs.
class pace_baseline {
public:
    // Service name and index of the model.
    using kind = std::pair<std::string, size_t>;

    // Adds the median interval of one stream.
    void count(const kind& kind, duration interval);
    // Compares the interval with the undisturbed one; none while too few streams are known.
    std::optional<latency_grade> grade(const kind& kind, duration interval) const;

private:
    // The latest intervals, as a ring.
    struct window {
        std::vector<duration> intervals;
        size_t next = 0;
    };

    std::map<kind, window> m_windows;
};

} // namespace pollen
