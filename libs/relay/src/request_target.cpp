#include "request_target.h"

#include <scheduling/request_hash.h>

#include <relay/trial_servers.h>

namespace pollen {

namespace {

// Requests with the same session id or, without an id, the same prompt share a session.
bool hasSession(const request_traits& traits) { return !traits.session.empty() || !traits.parts.empty(); }

bool triesTarget(
    const relay_dependencies& dependencies, const request_traits& traits, const rollout_row& row, time_point start)
{
    if (!hasSession(traits))
        return row.takesSessionlessRequests;
    const uint64_t session = sessionKey(traits);
    const auto last = dependencies.sessions.find(session, start);
    const double point = toUnitInterval(hashOf({ reinterpret_cast<const char*>(&session), sizeof session }));
    return point < row.share || (last && *last == row.order.target);
}

void chooseVersion(
    const relay_dependencies& dependencies, const request_traits& traits, time_point start, placement_request& request)
{
    const rollout_row* row = dependencies.rollouts.find(request.service);
    if (!row)
        return;
    const version_name& target = row->order.target;
    switch (row->state) {
    case rollout_state::Complete:
        request.onlyVersion = target;
        return;
    case rollout_state::RolledBack:
        request.notVersion = target;
        return;
    case rollout_state::Running:
        break;
    }
    if (row->rejected) {
        request.notVersion = target;
        return;
    }
    if (!triesTarget(dependencies, traits, *row, start)) {
        request.notVersion = target;
        return;
    }
    request.onlyVersion = target;
    request.assumeColdCaches = row->concentratesLoad;
    if (row->concentratesLoad)
        request.onlyServers = trialServers(dependencies.state.servers(), request.service, *row, start);
}

} // namespace

uint64_t sessionKey(const request_traits& traits)
{
    if (!traits.session.empty())
        return hashOf(traits.session);
    if (!traits.parts.empty())
        return traits.parts.back().id;
    return hashOf(traits.id.text());
}

placement_request makePlacementRequest(const relay_dependencies& dependencies, const relay_route& route,
    const request_traits& traits, size_t model, time_point start)
{
    placement_request request;
    uint32_t total = 0;
    for (const route_target& target : route.targets)
        total += target.weight;
    auto point = static_cast<uint32_t>(toUnitInterval(hashOf(traits.id.text())) * total);
    for (const route_target& target : route.targets) {
        request.service = target.service;
        if (point < target.weight)
            break;
        point -= target.weight;
    }
    if (traits.anyModel && !route.models.empty())
        request.model = route.models[model];
    request.parts = traits.parts;
    request.promptTokens = traits.promptTokens;
    request.failureDomain = dependencies.failureDomain;
    chooseVersion(dependencies, traits, start, request);
    return request;
}

} // namespace pollen
