#include <policy/cheapest_sufficient_policy.h>

#include <algorithm>

namespace pollen {

namespace {

// inputCost and outputCost are prices for this many tokens.
constexpr double tokensPerCostUnit = 1000;

bool matchesRequest(const version_ref& requestedVersion, const version_ref& ref)
{
    if (!requestedVersion.model.empty() && requestedVersion.model != ref.model)
        return false;
    return requestedVersion.version.empty() || requestedVersion.version == ref.version;
}

duration predictTime(const version_entry& entry, const route_request& request)
{
    const double promptSeconds = request.promptTokens / entry.promptTokensPerSecond;
    const double outputSeconds = request.outputTokens / entry.outputTokensPerSecond;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(promptSeconds + outputSeconds));
}

double predictCost(const version_entry& entry, const route_request& request)
{
    return (request.promptTokens * entry.inputCost + request.outputTokens * entry.outputCost) / tokensPerCostUnit;
}

// Makes the decision for one request.
class version_selector {
public:
    version_selector(const route_request& request, const fleet_tables& tables, time_point now, random_source& random)
        : m_request(request)
        , m_tables(tables)
        , m_now(now)
        , m_random(random)
        , m_class(tables.requestClass(request.requestClass))
        , m_qualityTarget(tables.qualityTarget(request.team, request.requestClass))
        , m_isSessionPinned(isSessionVersionUsable())
    {
    }

    route_decision decide()
    {
        m_decision.candidates.reserve(m_tables.versions().size());
        for (uint32_t i = 0; i < m_tables.versions().size(); ++i)
            m_decision.candidates.push_back(evaluate({ i }));
        if (m_isSessionPinned && !matchesRequest(m_request.requestedVersion, *m_request.sessionVersion))
            m_decision.outcome = route_outcome::SessionConflict;
        else if (const auto chosen = findBestCandidate())
            applyChoice(*chosen);
        else
            m_decision.outcome = refusalOutcome();
        return std::move(m_decision);
    }

private:
    // Quality and cost are not checked again: they were decided when the session started.
    bool isSessionVersionUsable() const
    {
        if (!m_request.sessionVersion)
            return false;
        const auto handle = m_tables.findVersion(*m_request.sessionVersion);
        if (!handle || m_tables.version(*handle).entry->state == version_state::Withdrawn)
            return false;
        return m_tables.team(m_request.team).permissions[handle->index] == permission::Allowed;
    }

    route_candidate evaluate(version_handle handle) const
    {
        const version_entry& entry = *m_tables.version(handle).entry;
        route_candidate candidate;
        candidate.version = handle;
        candidate.predictedCost = predictCost(entry, m_request);
        candidate.predictedTime = predictTime(entry, m_request);
        const auto quality = entry.quality.find(m_class.name);
        candidate.expectedQuality = quality == entry.quality.end() ? 0 : quality->second;
        candidate.excluded = findExclusion(handle, entry, candidate);
        return candidate;
    }

    exclusion findExclusion(version_handle handle, const version_entry& entry, const route_candidate& candidate) const
    {
        const permission permission = m_tables.team(m_request.team).permissions[handle.index];
        if (permission == permission::DeniedByException)
            return exclusion::DeniedByException;
        if (permission == permission::NotAllowed)
            return exclusion::NotAllowed;
        if (entry.state == version_state::Withdrawn)
            return exclusion::Withdrawn;
        if (!matchesRequest(m_request.requestedVersion, entry.ref))
            return exclusion::NotRequested;
        if (m_isSessionPinned && entry.ref != *m_request.sessionVersion)
            return exclusion::SessionPrefersOther;
        if (!m_isSessionPinned && !entry.quality.contains(m_class.name))
            return exclusion::ClassNotServed;
        if (!m_isSessionPinned && candidate.expectedQuality < m_qualityTarget)
            return exclusion::BelowQualityTarget;
        if (!m_isSessionPinned && isOutsideRollout(entry))
            return exclusion::OutsideRollout;
        if (!hasAvailableServer(handle))
            return exclusion::NoServer;
        if (candidate.predictedTime > m_request.timeLeft)
            return exclusion::TooSlow;
        return exclusion::None;
    }

    bool isOutsideRollout(const version_entry& entry) const
    {
        return entry.state == version_state::RollingOut && m_request.rolloutPoint >= entry.rolloutShare;
    }

    bool hasAvailableServer(version_handle handle) const
    {
        const auto& servers = m_tables.version(handle).servers;
        return std::any_of(servers.begin(), servers.end(), [&](server_handle server) {
            const auto& excluded = m_request.excluded;
            const bool alreadyFailed = std::find(excluded.begin(), excluded.end(), server) != excluded.end();
            return !alreadyFailed && m_tables.servers().row(server).isAvailable(m_now);
        });
    }

    const version_entry& entryOf(const route_candidate& candidate) const
    {
        return *m_tables.version(candidate.version).entry;
    }

    std::optional<size_t> findBestCandidate()
    {
        std::optional<size_t> cheapest;
        for (size_t i = 0; i < m_decision.candidates.size(); ++i) {
            const route_candidate& candidate = m_decision.candidates[i];
            if (candidate.excluded != exclusion::None)
                continue;
            if (!cheapest || candidate.predictedCost < m_decision.candidates[*cheapest].predictedCost)
                cheapest = i;
        }
        if (cheapest && m_isSessionPinned)
            m_decision.reason = route_reason::Session;
        if (!cheapest || m_isSessionPinned)
            return cheapest;
        return preferRollout(*cheapest);
    }

    // A version that is rolling out gets its share of the requests to its model regardless of cost.
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

    void applyChoice(size_t chosen)
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

    // Reports the check that the furthest candidate failed: what has to change for the request to be served.
    route_outcome refusalOutcome() const
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
    double m_qualityTarget;
    bool m_isSessionPinned;
    route_decision m_decision;
};

} // namespace

route_decision cheapest_sufficient_policy::decide(
    const route_request& request, const fleet_tables& tables, time_point now, random_source& random) const
{
    return version_selector(request, tables, now, random).decide();
}

} // namespace pollen
