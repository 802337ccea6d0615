#include <relay/repeat_allowance.h>

namespace pollen {

namespace {

// Part of the fleet's bound that the daemons use, for requests that the platform counts in another window.
constexpr double partOfBound = 0.9;
// With less, no repeat could ever be saved up.
constexpr double smallestReserve = 1;
// A daemon starts with all that it may save up. A restart within the window adds as much again, so that only this part
// of the slack may be saved up.
constexpr double partBesideRestart = 0.5;

} // namespace

void repeat_allowance::setDaemons(size_t count)
{
    if (m_daemons == count)
        return;
    // What may be saved up is not known before; every service then starts with it.
    if (m_daemons == 0)
        m_budgets.clear();
    m_daemons = count;
    for (auto& [service, budget] : m_budgets)
        budget.setReserve(reserve());
}

void repeat_allowance::onRequest(const service_name& service) { budget(service).onRequest(); }

bool repeat_allowance::take(const service_name& service) { return budget(service).take(); }

double repeat_allowance::reserve() const
{
    if (m_daemons == 0)
        return smallestReserve;
    return std::max(smallestReserve, m_bound.slack * partOfBound * partBesideRestart / static_cast<double>(m_daemons));
}

retry_budget& repeat_allowance::budget(const service_name& service)
{
    return m_budgets.try_emplace(service, m_bound.share * partOfBound, reserve()).first->second;
}

} // namespace pollen
