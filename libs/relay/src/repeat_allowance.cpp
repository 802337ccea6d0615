#include <algorithm>
#include <relay/repeat_allowance.h>

namespace pollen {

namespace {

// Part of the fleet's bound that the daemons use, for requests that the platform counts in another window.
constexpr double partOfBound = 0.9;
// A window holds two halves with a slack each, and a restart forgets what was taken before it.
constexpr double slacksInWindow = 3;
// With less, a daemon with little traffic could never repeat anything.
constexpr double smallestSlack = 1;
constexpr int halves = 2;

} // namespace

int64_t repeat_allowance::slotNumber(time_point now) const
{
    return now.time_since_epoch() / (m_bound.window / halves / static_cast<int>(slotsOfHistory));
}

repeat_allowance::slot& repeat_allowance::currentSlot(const service_name& service, time_point now)
{
    const int64_t number = slotNumber(now);
    slot& current = m_histories[service][static_cast<size_t>(number) % slotsOfHistory];
    if (current.number != number)
        current = { number, 0, 0 };
    return current;
}

void repeat_allowance::onRequest(const service_name& service, time_point now) { ++currentSlot(service, now).requests; }

bool repeat_allowance::take(const service_name& service, time_point now)
{
    slot& current = currentSlot(service, now);
    const int64_t oldest = current.number - static_cast<int64_t>(slotsOfHistory) + 1;
    uint32_t requests = 0;
    uint32_t repeats = 0;
    for (const slot& past : m_histories[service]) {
        if (past.number < oldest)
            continue;
        requests += past.requests;
        repeats += past.repeats;
    }
    if (repeats + 1 > m_bound.share * partOfBound * requests + ownSlack())
        return false;
    ++current.repeats;
    return true;
}

double repeat_allowance::ownSlack() const
{
    if (m_daemons == 0)
        return smallestSlack;
    const double part = m_bound.slack * partOfBound / slacksInWindow / static_cast<double>(m_daemons);
    return std::max(smallestSlack, part);
}

} // namespace pollen
