#include <scheduling/work_view.h>

#include <algorithm>

namespace pollen {

void work_view::apply(const work_change& change)
{
    // Changes of another sum say nothing of this one.
    if (!change.isComplete && change.state.sum != m_state.sum)
        return;
    if (change.isComplete)
        m_sums.clear();
    for (const server_work& item : change.work) {
        if (item.requests == 0 && item.unreadTokens == 0)
            m_sums.erase(item.server);
        else
            m_sums[item.server] = item;
    }
    m_state = change.state;
}

std::vector<server_work> work_view::excluding(const std::vector<server_work>& own) const
{
    std::vector<server_work> others;
    others.reserve(m_sums.size());
    for (const auto& [server, sum] : m_sums) {
        server_work work = sum;
        const auto reported
            = std::find_if(own.begin(), own.end(), [&](const server_work& item) { return item.server == work.server; });
        // Another daemon's sum may lack what this one has reported.
        if (reported != own.end()) {
            work.requests -= std::min(work.requests, reported->requests);
            work.unreadTokens -= std::min(work.unreadTokens, reported->unreadTokens);
        }
        if (work.requests > 0 || work.unreadTokens > 0)
            others.push_back(work);
    }
    return others;
}

} // namespace pollen
