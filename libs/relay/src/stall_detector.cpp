#include <relay/stall_detector.h>

#include <algorithm>

namespace pollen {

namespace {

// By the fleets' specifications, a response is late if it pauses for 800 ms or more between events.
constexpr duration maximumTimeout = std::chrono::milliseconds(800);
constexpr duration minimumTimeout = std::chrono::milliseconds(100);
// A call with a short deadline is probed after this fraction of its remaining time, so that another attempt fits.
constexpr int timeLeftDivisor = 4;
// A reachable server is probed again after the time-out times this factor.
constexpr int reachableTimeoutFactor = 2;

} // namespace

void stall_detector::start(time_point now, duration expectedWait, duration timeLeft)
{
    m_timeout = std::clamp(timeLeft / timeLeftDivisor, minimumTimeout, maximumTimeout);
    m_due = now + expectedWait + m_timeout;
    m_isProbing = false;
}

void stall_detector::onActivity(time_point now) { m_due = now + m_timeout; }

void stall_detector::onReachable(time_point now)
{
    m_isProbing = false;
    m_due = now + m_timeout * reachableTimeoutFactor;
}

} // namespace pollen
