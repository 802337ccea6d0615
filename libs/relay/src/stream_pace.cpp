#include <relay/stream_pace.h>

#include <algorithm>
#include <utility>

namespace pollen {

namespace {

// A few intervals suffice for a median; more would delay the result on slow streams.
constexpr size_t measuredIntervals = 5;
constexpr size_t minimumIntervals = 2;

} // namespace

void stream_pace::addEvents(size_t count, time_point now)
{
    if (count == 0)
        return;
    const time_point previous = std::exchange(m_last, now);
    if (!std::exchange(m_started, true)) {
        m_first = now;
        return;
    }
    m_events += count;
    const size_t added = std::min(count, measuredIntervals - m_intervals.size());
    m_intervals.insert(m_intervals.end(), added, (now - previous) / static_cast<int64_t>(count));
}

bool stream_pace::isMeasured() const { return m_intervals.size() == measuredIntervals; }

std::optional<duration> stream_pace::median() const
{
    if (m_intervals.size() < minimumIntervals)
        return std::nullopt;
    std::vector<duration> sorted = m_intervals;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace pollen
