#include <relay/stall_detector.h>

#include <algorithm>

namespace pollen {

namespace {

// Pauses between events make an answer late from 800 ms on, by the fleets' sheets.
constexpr duration maximumTimeout = std::chrono::milliseconds(800);
constexpr duration minimumTimeout = std::chrono::milliseconds(100);
// Part of the time timeLeft after which a call with a short deadline is looked into, so that another try fits.
constexpr int timeLeftDivisor = 4;
// A server that can be reached is asked about again after so many times as long.
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
