#pragma once

#include <chrono>
#include <cstdint>

namespace pollen {

using duration = std::chrono::microseconds;

// A point on the monotonic clock of this process, in microseconds since an arbitrary start.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Source of time. Decisions take a time_point as an argument; only the edges of the program own a clock.
class clock {
public:
    virtual ~clock() = default;

    // Monotonic; not affected by steps of the wall clock. Time while the instance is suspended counts.
    virtual time_point now() const = 0;

    // Milliseconds since the Unix epoch; may step by seconds in either direction, so only for records that people read
    // and for spans between daemons that are long against that.
    virtual int64_t wallMilliseconds() const = 0;
};

// Reads the clocks of the operating system.
class os_clock final : public clock {
public:
    time_point now() const override;
    int64_t wallMilliseconds() const override;
};

// A clock that moves only when told to, for tests in virtual time.
class manual_clock final : public clock {
public:
    time_point now() const override { return m_now; }
    int64_t wallMilliseconds() const override { return m_wallMilliseconds; }

    void advance(duration by)
    {
        m_now += by;
        m_wallMilliseconds += std::chrono::duration_cast<std::chrono::milliseconds>(by).count();
    }

private:
    time_point m_now {};
    int64_t m_wallMilliseconds = 0;
};

// Whole milliseconds in a span, rounded down.
int64_t toMilliseconds(duration interval);

// Seconds in a span, with fraction.
double toSeconds(duration interval);

} // namespace pollen
