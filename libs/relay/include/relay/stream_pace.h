#pragma once

#include <base/clock.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace pollen {

// Measures the time between the events of one streamed answer.
class stream_pace {
public:
    // Events that arrived together. The first ones only start the measurement, as the time before them is that of the
    // prompt and of the server's queue.
    void addEvents(size_t count, time_point now);

    // Events after the first ones, and the time that they took.
    size_t events() const { return m_events; }
    duration elapsed() const { return m_last - m_first; }

    // Enough intervals have been measured for median() to be final.
    bool isMeasured() const;
    // Median of the first intervals between events; it ignores the pauses in which the server reads the prompts of
    // other requests. None before two intervals.
    std::optional<duration> median() const;

private:
    bool m_started = false;
    size_t m_events = 0;
    time_point m_first {};
    time_point m_last {};
    std::vector<duration> m_intervals;
};

} // namespace pollen
