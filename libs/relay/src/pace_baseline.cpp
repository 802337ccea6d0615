#include <relay/pace_baseline.h>

#include <algorithm>

namespace pollen {

namespace {

constexpr size_t windowSize = 64;
constexpr size_t minimumStreams = 5;
// Events that are passed on together have no measurable interval.
constexpr double shortestSeconds = 0.0005;
// The undisturbed interval is the one that a quarter of the streams do not exceed.
constexpr size_t undisturbedDivisor = 4;
// Intervals above the undisturbed one times this factor are slow: one in four of those of sound versions under their
// usual load, nearly all of a version that takes twice as long.
constexpr double slowFactor = 1.6;
// Under a load at which many streams of sound versions are slow, few of them are very slow.
constexpr double verySlowFactor = 2.6;

} // namespace

void pace_baseline::count(const kind& kind, duration interval)
{
    window& known = m_windows[kind];
    if (known.intervals.size() < windowSize)
        known.intervals.push_back(interval);
    else
        known.intervals[known.next] = interval;
    known.next = (known.next + 1) % windowSize;
}

std::optional<latency_grade> pace_baseline::grade(const kind& kind, duration interval) const
{
    const auto known = m_windows.find(kind);
    if (known == m_windows.end() || known->second.intervals.size() < minimumStreams)
        return std::nullopt;
    std::vector<duration> sorted = known->second.intervals;
    const auto undisturbed = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / undisturbedDivisor);
    std::nth_element(sorted.begin(), undisturbed, sorted.end());
    const double relative = toSeconds(interval) / std::max(toSeconds(*undisturbed), shortestSeconds);
    if (relative > verySlowFactor)
        return latency_grade::VerySlow;
    return relative > slowFactor ? latency_grade::Slow : latency_grade::Normal;
}

} // namespace pollen
