#pragma once

#include <base/clock.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace pollen {

// The latest latencies of one kind of request, of a fixed number. A rise of the load replaces them as fast as requests
// are answered, so that percentiles follow it without a time constant.
class latency_window {
public:
    // Names a latency that may still be corrected.
    using sample_id = uint64_t;

    sample_id add(duration latency);
    // Corrects a latency; without effect if it is no longer among the latest ones.
    void replace(sample_id sample, duration latency);

    size_t size() const { return m_latencies.size(); }
    // The latency that the share `below` of the samples does not exceed; zero without samples.
    duration percentile(double below) const;

private:
    std::vector<duration> m_latencies;
    uint64_t m_added = 0;
    // Copy in ascending order, made when a percentile is asked for.
    mutable std::vector<duration> m_sorted;
    mutable bool m_isSorted = true;
};

} // namespace pollen
