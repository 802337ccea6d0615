#include <algorithm>
#include <relay/rollout_evidence.h>

namespace pollen {

namespace {

// Routes counted separately; bounds the size of reports for services with hundreds of routes.
constexpr size_t maximumRoutes = 16;
// Route name of the row that all further routes share.
const std::string otherRoutes = "*";

} // namespace

const std::string rollout_evidence::underLoad = "under load";

namespace {

std::string toText(const version_answers& answers)
{
    return std::to_string(answers.sent) + " sent, " + std::to_string(answers.bad) + " of "
        + std::to_string(answers.completed()) + " bad, " + std::to_string(answers.slow) + " and "
        + std::to_string(answers.verySlow) + " of " + std::to_string(answers.timed) + " slow, "
        + std::to_string(answers.slowPaced) + " and " + std::to_string(answers.verySlowPaced) + " of "
        + std::to_string(answers.paced) + " streams slow";
}

std::string toText(const route_answers& row) { return toText(row.target) + " (others " + toText(row.others) + ")"; }

} // namespace

std::string toText(const rollout_evidence& evidence)
{
    std::string text = "all: " + toText(evidence.total());
    for (const route_answers& row : evidence.routes())
        text += "; " + row.route + ": " + toText(row);
    return text;
}

version_answers& version_answers::operator+=(const version_answers& other)
{
    sent += other.sent;
    good += other.good;
    bad += other.bad;
    timed += other.timed;
    slow += other.slow;
    verySlow += other.verySlow;
    paced += other.paced;
    slowPaced += other.slowPaced;
    verySlowPaced += other.verySlowPaced;
    return *this;
}

version_answers& version_answers::operator-=(const version_answers& other)
{
    sent -= other.sent;
    good -= other.good;
    bad -= other.bad;
    timed -= other.timed;
    slow -= other.slow;
    verySlow -= other.verySlow;
    paced -= other.paced;
    slowPaced -= other.slowPaced;
    verySlowPaced -= other.verySlowPaced;
    return *this;
}

rollout_evidence::rollout_evidence(std::vector<route_answers> routes)
    : m_routes(std::move(routes))
{
}

route_answers& rollout_evidence::at(const std::string& route)
{
    const auto find = [&](const std::string& name) {
        return std::find_if(
            m_routes.begin(), m_routes.end(), [&](const route_answers& row) { return row.route == name; });
    };
    if (const auto known = find(route); known != m_routes.end())
        return *known;
    const std::string& name = m_routes.size() < maximumRoutes ? route : otherRoutes;
    if (const auto known = find(name); known != m_routes.end())
        return *known;
    return m_routes.emplace_back(route_answers { name, {}, {} });
}

route_answers rollout_evidence::total() const
{
    route_answers sum;
    for (const route_answers& row : m_routes) {
        sum.target += row.target;
        sum.others += row.others;
    }
    return sum;
}

rollout_evidence& rollout_evidence::operator+=(const rollout_evidence& other)
{
    for (const route_answers& row : other.m_routes) {
        route_answers& own = at(row.route);
        own.target += row.target;
        own.others += row.others;
    }
    return *this;
}

rollout_evidence& rollout_evidence::operator-=(const rollout_evidence& other)
{
    for (const route_answers& row : other.m_routes) {
        route_answers& own = at(row.route);
        own.target -= row.target;
        own.others -= row.others;
    }
    return *this;
}

} // namespace pollen
