#include <algorithm>
#include <scheduling/fleet_retry_budget.h>

namespace pollen {

namespace {

// Share of the fleet's limit that the daemons use; the rest covers requests that the platform counts in another window.
constexpr double usedShareOfLimit = 0.9;
// A window spans two half windows with one slack each, and a restart loses the count of retries taken before it.
constexpr double slacksPerWindow = 3;
// With less, a daemon with little traffic could never retry a request.
constexpr double minimumSlack = 1;
constexpr int halvesPerWindow = 2;

} // namespace

int64_t fleet_retry_budget::slotNumber(time_point now) const
{
    return now.time_since_epoch() / (m_limit.window / halvesPerWindow / static_cast<int>(slotCount));
}

fleet_retry_budget::slot& fleet_retry_budget::currentSlot(const service_name& service, time_point now)
{
    const int64_t number = slotNumber(now);
    slot& current = m_histories[service][static_cast<size_t>(number) % slotCount];
    if (current.number != number)
        current = { number, 0, 0 };
    return current;
}

void fleet_retry_budget::onRequest(const service_name& service, time_point now)
{
    ++currentSlot(service, now).requests;
}

bool fleet_retry_budget::take(const service_name& service, time_point now)
{
    slot& current = currentSlot(service, now);
    const int64_t oldest = current.number - static_cast<int64_t>(slotCount) + 1;
    uint32_t requests = 0;
    uint32_t retries = 0;
    for (const slot& past : m_histories[service]) {
        if (past.number < oldest)
            continue;
        requests += past.requests;
        retries += past.retries;
    }
    if (retries + 1 > m_limit.share * usedShareOfLimit * requests + ownSlack())
        return false;
    ++current.retries;
    return true;
}

double fleet_retry_budget::ownSlack() const
{
    if (m_daemonCount == 0)
        return minimumSlack;
    const double part = m_limit.slack * usedShareOfLimit / slacksPerWindow / static_cast<double>(m_daemonCount);
    return std::max(minimumSlack, part);
}

} // namespace pollen
