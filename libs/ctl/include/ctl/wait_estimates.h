#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace pollen {

// Expected and measured time to the first byte of one response.
struct estimate_pair {
    int64_t expectedMilliseconds = 0;
    int64_t measuredMilliseconds = 0;

    friend bool operator==(const estimate_pair&, const estimate_pair&) = default;
};

// Measured first bytes of the responses whose expected wait lies in one range.
struct wait_range {
    int64_t lowerMilliseconds = 0;
    // The first value beyond the range; empty for the last one.
    std::optional<int64_t> upperMilliseconds;
    size_t pairs = 0;
    // By nearest rank; 0 without pairs.
    int64_t medianMilliseconds = 0;
    int64_t percentile90Milliseconds = 0;

    friend bool operator==(const wait_range&, const wait_range&) = default;
};

// Compares expected with measured waits.
class wait_estimates {
public:
    void add(const estimate_pair& pair) { m_pairs.push_back(pair); }
    size_t pairs() const { return m_pairs.size(); }

    // Spearman's rank correlation, -1 to 1; equal values share their mean rank. Empty with fewer than three pairs, as
    // two always give 1 or -1, and where all expected or all measured values are equal.
    std::optional<double> rankCorrelation() const;

    // All ranges, in order of the expected wait.
    std::vector<wait_range> ranges() const;

private:
    std::vector<estimate_pair> m_pairs;
};

} // namespace pollen
