#include <scheduling/group_work.h>

#include <algorithm>

namespace pollen {

namespace {

// Work of a daemon that has not reported within this time is no longer counted.
constexpr duration workLifetime = std::chrono::seconds(1);
// Sums of zero are kept so that members learn of them. Beyond this number all are discarded.
constexpr size_t maximumEmptySums = 1024;

std::vector<server_work> without(std::vector<server_work> work, const std::vector<server_work>& removed)
{
    std::erase_if(work,
        [&](const server_work& item) { return std::find(removed.begin(), removed.end(), item) != removed.end(); });
    return work;
}

bool isEmpty(const server_work& work) { return work.requests == 0 && work.unreadTokens == 0; }

} // namespace

void group_work::report(const instance_id& daemon, std::vector<server_work> work, time_point now)
{
    member& known = m_members[daemon];
    known.reportedAt = now;
    // A sum counts as changed only if the daemon reports something else than before.
    add(without(known.work, work), sign::Minus);
    add(without(work, known.work), sign::Plus);
    known.work = std::move(work);
    discardEmpty();
}

void group_work::removeSilent(time_point now)
{
    std::erase_if(m_members, [&](const auto& item) {
        const bool isSilent = now - item.second.reportedAt >= workLifetime;
        if (isSilent)
            add(item.second.work, sign::Minus);
        return isSilent;
    });
}

void group_work::add(const std::vector<server_work>& work, sign direction)
{
    ++m_change;
    for (const server_work& item : work) {
        const auto known = m_byServer.find(item.server);
        const bool isNew = known == m_byServer.end();
        if (isNew) {
            m_sums.push_back({ { item.server, 0, 0 }, m_change });
            m_byServer.emplace(item.server, std::prev(m_sums.end()));
        } else {
            m_sums.splice(m_sums.end(), m_sums, known->second);
        }
        sum& changed = m_sums.back();
        m_empty -= !isNew && isEmpty(changed.work) ? 1 : 0;
        changed.change = m_change;
        if (direction == sign::Plus) {
            changed.work.requests += item.requests;
            changed.work.unreadTokens += item.unreadTokens;
        } else {
            changed.work.requests -= item.requests;
            changed.work.unreadTokens -= item.unreadTokens;
        }
        m_empty += isEmpty(changed.work) ? 1 : 0;
    }
}

void group_work::discardEmpty()
{
    if (m_empty <= maximumEmptySums)
        return;
    m_discardedChange = m_change;
    m_empty = 0;
    std::erase_if(m_sums, [&](const sum& item) {
        if (isEmpty(item.work))
            m_byServer.erase(item.work.server);
        return isEmpty(item.work);
    });
}

work_change group_work::changeSince(const work_state& known) const
{
    work_change change;
    const auto isNews = [&](const sum& item) { return item.change > known.change; };
    const auto news
        = static_cast<size_t>(std::distance(m_sums.rbegin(), std::find_if_not(m_sums.rbegin(), m_sums.rend(), isNews)));
    const size_t all = m_sums.size() - m_empty;
    change.isComplete = known.sum != m_id || known.change < m_discardedChange || news > all;
    change.state = { m_id, m_change };
    for (auto item = m_sums.rbegin(); item != m_sums.rend(); ++item) {
        if (!change.isComplete && item->change <= known.change)
            break;
        if (!change.isComplete || !isEmpty(item->work))
            change.work.push_back(item->work);
    }
    return change;
}

} // namespace pollen
