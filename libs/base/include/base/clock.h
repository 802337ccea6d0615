#pragma once

#include <chrono>
#include <cstdint>

namespace pollen {

using duration = std::chrono::microseconds;

// A point on the monotonic clock of this process, in microseconds since an arbitrary epoch.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Source of time. Decision logic takes a time_point as an argument and does not read a clock, so that it can be tested
// in virtual time; only the outermost code of the program owns a clock.
class clock {
public:
    virtual ~clock() = default;

    // Monotonic; not affected by steps of the wall clock. Includes the time that the instance is suspended.
    virtual time_point now() const = 0;

    // Milliseconds since the Unix epoch. May step by seconds in either direction, so use it only for human-readable
    // records and for intervals between daemons that are much longer than such a step.
    virtual int64_t wallMilliseconds() const = 0;
};

// Reads the clocks of the operating system.
class os_clock final : public clock {
public:
    time_point now() const override;
    int64_t wallMilliseconds() const override;
};

// A clock that moves only on advance(), for tests in virtual time.
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

// Converts to whole milliseconds, truncating toward zero.
int64_t toMilliseconds(duration interval);

// Converts to seconds, keeping the fraction.
double toSeconds(duration interval);

} // namespace pollen
