#include <policy/cheapest_sufficient_policy.h>

#include <algorithm>

namespace pollen {

namespace {

constexpr double tokensPerCostUnit = 1000;

bool fitsRequest(const version_ref& wanted, const version_ref& ref)
{
    if (!wanted.model.empty() && wanted.model != ref.model)
        return false;
    return wanted.version.empty() || wanted.version == ref.version;
}

duration predictTime(const version_entry& entry, const route_request& request)
{
    const double reading = request.promptTokens / entry.promptTokensPerSecond;
    const double writing = request.outputTokens / entry.outputTokensPerSecond;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(reading + writing));
}

double predictCost(const version_entry& entry, const route_request& request)
{
    return (request.promptTokens * entry.inputCost + request.outputTokens * entry.outputCost) / tokensPerCostUnit;
}

// Decides on one request over one set of tables.
class chooser {
public:
    chooser(const route_request& request, const fleet_tables& tables, time_point now, random_source& random)
        : m_request(request)
        , m_tables(tables)
        , m_now(now)
        , m_random(random)
        , m_class(tables.requestClass(request.requestClass))
        , m_target(tables.qualityTarget(request.team, request.requestClass))
        , m_keepsSession(sessionVersionUsable())
    {
    }

    route_decision decide()
    {
        m_decision.candidates.reserve(m_tables.versions().size());
        for (uint32_t i = 0; i < m_tables.versions().size(); ++i)
            m_decision.candidates.push_back(consider({ i }));
        if (m_keepsSession && !fitsRequest(m_request.wanted, *m_request.sessionVersion))
            m_decision.outcome = route_outcome::SessionConflict;
        else if (const auto chosen = choose())
            accept(*chosen);
        else
            m_decision.outcome = refusal();
        return std::move(m_decision);
    }

private:
    // A session keeps its version as long as the team may use it; quality and price were settled at its start.
    bool sessionVersionUsable() const
    {
        if (!m_request.sessionVersion)
            return false;
        const auto handle = m_tables.findVersion(*m_request.sessionVersion);
        if (!handle || m_tables.version(*handle).entry->state == version_state::Withdrawn)
            return false;
        return m_tables.team(m_request.team).permissions[handle->index] == permission::Allowed;
    }

    route_candidate consider(version_handle handle) const
    {
        const version_entry& entry = *m_tables.version(handle).entry;
        route_candidate candidate;
        candidate.version = handle;
        candidate.predictedCost = predictCost(entry, m_request);
        candidate.predictedTime = predictTime(entry, m_request);
        const auto quality = entry.quality.find(m_class.name);
        candidate.expectedQuality = quality == entry.quality.end() ? 0 : quality->second;
        candidate.excluded = exclude(handle, entry, candidate);
        return candidate;
    }

    exclusion exclude(version_handle handle, const version_entry& entry, const route_candidate& candidate) const
    {
        const permission permission = m_tables.team(m_request.team).permissions[handle.index];
        if (permission == permission::DeniedByException)
            return exclusion::DeniedByException;
        if (permission == permission::NotAllowed)
            return exclusion::NotAllowed;
        if (entry.state == version_state::Withdrawn)
            return exclusion::Withdrawn;
        if (!fitsRequest(m_request.wanted, entry.ref))
            return exclusion::NotRequested;
        if (m_keepsSession && entry.ref != *m_request.sessionVersion)
            return exclusion::SessionPrefersOther;
        if (!m_keepsSession && !entry.quality.contains(m_class.name))
            return exclusion::ClassNotServed;
        if (!m_keepsSession && candidate.expectedQuality < m_target)
            return exclusion::BelowQualityTarget;
        if (!m_keepsSession && isOutsideRollout(entry))
            return exclusion::OutsideRollout;
        if (!hasServer(handle))
            return exclusion::NoServer;
        if (candidate.predictedTime > m_request.timeLeft)
            return exclusion::TooSlow;
        return exclusion::None;
    }

    bool isOutsideRollout(const version_entry& entry) const
    {
        return entry.state == version_state::RollingOut && m_request.rolloutPoint >= entry.rolloutShare;
    }

    bool hasServer(version_handle handle) const
    {
        const auto& servers = m_tables.version(handle).servers;
        return std::any_of(servers.begin(), servers.end(), [&](server_handle server) {
            const auto& excluded = m_request.excluded;
            const bool tried = std::find(excluded.begin(), excluded.end(), server) != excluded.end();
            return !tried && m_tables.servers().row(server).takesWork(m_now);
        });
    }

    const version_entry& entryOf(const route_candidate& candidate) const
    {
        return *m_tables.version(candidate.version).entry;
    }

    std::optional<size_t> choose()
    {
        std::optional<size_t> cheapest;
        for (size_t i = 0; i < m_decision.candidates.size(); ++i) {
            const route_candidate& candidate = m_decision.candidates[i];
            if (candidate.excluded != exclusion::None)
                continue;
            if (!cheapest || candidate.predictedCost < m_decision.candidates[*cheapest].predictedCost)
                cheapest = i;
        }
        if (cheapest && m_keepsSession)
            m_decision.reason = route_reason::Session;
        if (!cheapest || m_keepsSession)
            return cheapest;
        return preferRollout(*cheapest);
    }

    // A version rolling out takes its share of the work of its model, whatever it costs.
    size_t preferRollout(size_t cheapest)
    {
        const version_ref& ref = entryOf(m_decision.candidates[cheapest]).ref;
        for (size_t i = 0; i < m_decision.candidates.size(); ++i) {
            const route_candidate& candidate = m_decision.candidates[i];
            const version_entry& entry = entryOf(candidate);
            if (candidate.excluded != exclusion::None || entry.state != version_state::RollingOut)
                continue;
            if (entry.ref.model != ref.model)
                continue;
            m_decision.reason = route_reason::Rollout;
            return i;
        }
        return cheapest;
    }

    void accept(size_t chosen)
    {
        for (size_t i = 0; i < m_decision.candidates.size(); ++i) {
            route_candidate& candidate = m_decision.candidates[i];
            if (i != chosen && candidate.excluded == exclusion::None)
                candidate.excluded = exclusion::CostsMore;
        }
        m_decision.outcome = route_outcome::Chosen;
        m_decision.version = m_decision.candidates[chosen].version;
        const auto& servers = m_tables.version(m_decision.version).servers;
        m_decision.server = *leastOutstanding(servers, m_tables.servers(), m_request.excluded, m_now, m_random);
    }

    // The refusal that names the last obstacle: what would have to change for the request to be served.
    route_outcome refusal() const
    {
        route_outcome outcome = route_outcome::NothingAllowed;
        for (const route_candidate& candidate : m_decision.candidates) {
            if (candidate.excluded == exclusion::TooSlow)
                return route_outcome::DeadlineUnreachable;
            if (candidate.excluded == exclusion::NoServer)
                outcome = route_outcome::NoServerAvailable;
            if (candidate.excluded == exclusion::BelowQualityTarget && outcome == route_outcome::NothingAllowed)
                outcome = route_outcome::QualityUnreachable;
        }
        return outcome;
    }

    const route_request& m_request;
    const fleet_tables& m_tables;
    time_point m_now;
    random_source& m_random;
    const class_entry& m_class;
    double m_target;
    bool m_keepsSession;
    route_decision m_decision;
};

} // namespace

route_decision cheapest_sufficient_policy::decide(
    const route_request& request, const fleet_tables& tables, time_point now, random_source& random) const
{
    return chooser(request, tables, now, random).decide();
}

} // namespace pollen
