#include "admission.h"

#include "request_hash.h"

namespace pollen {

namespace {

// Used if the caller sends no deadline.
constexpr duration defaultDeadline = std::chrono::seconds(30);
// A daemon that has just started receives the fleet state within 100 ms.
constexpr duration retryAfterStart = std::chrono::milliseconds(150);
// A retry may reach another daemon that has a newer configuration.
constexpr duration retryAfterOutdated = std::chrono::milliseconds(800);
constexpr duration retryAfterQuarantine = std::chrono::seconds(60);

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;

// The hash includes the team, so that no team can get another team's requests quarantined.
uint64_t fingerprintOf(const admission& found, const http_request& request, const std::string& host)
{
    uint64_t hash = found.team ? hashOf(found.team->name.text()) : 0;
    for (const std::string* part : { &request.method, &host, &request.target, &request.body })
        hash = hashOf(*part, hash);
    return requestFingerprint(hash);
}

std::vector<uint64_t> sharedParts(const request_traits& traits)
{
    std::vector<uint64_t> parts;
    for (size_t i = 0; i + 1 < traits.parts.size(); ++i)
        parts.push_back(partFingerprint(traits.parts[i].id));
    return parts;
}

refusal denial(int status, const char* type) { return { status, type, std::nullopt, false, true }; }

std::optional<refusal> findTeam(
    admission& found, const relay_state& state, const request_traits& traits, time_point now)
{
    if (!found.configuration->configuration().teams || found.route->isPublic)
        return std::nullopt;
    if (state.keysOutdated(now))
        return refusal { statusUnavailable, "keys_outdated", retryAfterOutdated };
    found.team = found.configuration->findTeam(traits.key);
    if (!found.team)
        return denial(statusUnauthorized, "unknown_key");
    return std::nullopt;
}

} // namespace

admission admit(
    const relay_dependencies& dependencies, const http_request& request, const request_traits& traits, time_point now)
{
    admission found;
    found.configuration = dependencies.state.configuration();
    if (!found.configuration || !dependencies.state.serversKnown()) {
        found.refused = refusal { statusUnavailable, "no_configuration", retryAfterStart, true };
        return found;
    }
    const std::string host(findHeader(request.headers, "Host"));
    found.route = found.configuration->findRoute(host, targetPath(request.target));
    if (!found.route) {
        found.refused = denial(statusNotFound, "unknown_route");
        return found;
    }
    if (traits.id.empty()) {
        found.refused = refusal { statusBadRequest, "no_request_id", std::nullopt };
        return found;
    }
    found.refused = findTeam(found, dependencies.state, traits, now);
    if (found.refused)
        return found;
    const duration callerTimeout = traits.timeLeft.value_or(defaultDeadline);
    const duration routeTimeout = found.route->timeout;
    found.deadline = now + (routeTimeout.count() > 0 ? std::min(callerTimeout, routeTimeout) : callerTimeout);
    found.fingerprint = fingerprintOf(found, request, host);
    found.parts = sharedParts(traits);
    const int64_t wallTime = dependencies.time.wallMilliseconds();
    if (dependencies.crashes.isQuarantined(found.fingerprint, wallTime))
        found.refused = refusal { statusUnavailable, "request_breaks_servers", retryAfterQuarantine };
    else if (dependencies.crashes.containsCrashingPart(found.parts, wallTime))
        found.refused = refusal { statusUnavailable, "prompt_part_breaks_servers", retryAfterQuarantine };
    return found;
}

} // namespace pollen
