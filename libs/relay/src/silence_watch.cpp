#include <relay/silence_watch.h>

#include <algorithm>

namespace pollen {

namespace {

// Pauses between events make an answer late from 800 ms on, by the fleets' sheets.
constexpr duration longestPatience = std::chrono::milliseconds(800);
constexpr duration shortestPatience = std::chrono::milliseconds(100);
// Part of the time left after which a call with a short deadline is looked into, so that another try fits.
constexpr int partsOfTimeLeft = 4;
// A server that can be reached is asked about again after so many times as long.
constexpr int longerWhileReachable = 2;

} // namespace

void silence_watch::start(time_point now, duration wait, duration left)
{
    m_patience = std::clamp(left / partsOfTimeLeft, shortestPatience, longestPatience);
    m_due = now + wait + m_patience;
    m_asking = false;
}

void silence_watch::hear(time_point now) { m_due = now + m_patience; }

void silence_watch::reachable(time_point now)
{
    m_asking = false;
    m_due = now + m_patience * longerWhileReachable;
}

} // namespace pollen
