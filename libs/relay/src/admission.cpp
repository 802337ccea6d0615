#include "admission.h"

#include <scheduling/request_hash.h>

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

refusal outdated(relay_state& state, const char* type, time_point now)
{
    return { .status = statusUnavailable,
        .type = type,
        .retryAfter = retryAfterOutdated,
        .awaitsFleetState = state.waitForConfirmation(now) };
}

// A denial is a statement about the newest configuration, and callers do not repeat what was denied. A daemon that may
// lack the newest one makes none.
refusal denial(relay_state& state, int status, const char* type, time_point now, time_point arrival)
{
    if (state.denialsOutdated(arrival))
        return outdated(state, "configuration_outdated", now);
    return { .status = status, .type = type, .retryAfter = std::nullopt, .deniedByConfiguration = true };
}

std::optional<refusal> findTeam(
    admission& found, relay_state& state, const request_traits& traits, time_point now, time_point arrival)
{
    if (!found.configuration->configuration().teams || found.route->isPublic)
        return std::nullopt;
    if (state.keysOutdated(arrival))
        return outdated(state, "keys_outdated", now);
    found.team = found.configuration->findTeam(traits.key);
    if (!found.team)
        return denial(state, statusUnauthorized, "unknown_key", now, arrival);
    return std::nullopt;
}

} // namespace

admission admit(const relay_dependencies& dependencies, const http_request& request, const request_traits& traits,
    time_point arrival)
{
    const time_point now = dependencies.time.now();
    admission found;
    found.configuration = dependencies.state.configuration();
    if (!found.configuration || !dependencies.state.serversKnown()) {
        found.refused = refusal { .status = statusUnavailable,
            .type = "no_configuration",
            .retryAfter = retryAfterStart,
            .awaitsFleetState = true };
        return found;
    }
    const std::string host(findHeader(request.headers, "Host"));
    found.route = found.configuration->findRoute(host, targetPath(request.target));
    if (!found.route) {
        found.refused = denial(dependencies.state, statusNotFound, "unknown_route", now, arrival);
        return found;
    }
    if (traits.id.empty()) {
        found.refused = refusal { statusBadRequest, "no_request_id", std::nullopt };
        return found;
    }
    found.refused = findTeam(found, dependencies.state, traits, now, arrival);
    if (found.refused)
        return found;
    // After a pause of the process newer orders are a moment away. A daemon that has lost its sources goes on.
    if (dependencies.state.ordersOutdated(arrival) && dependencies.state.waitForConfirmation(now)) {
        found.refused = refusal { .status = statusUnavailable,
            .type = "orders_outdated",
            .retryAfter = retryAfterOutdated,
            .awaitsFleetState = true };
        return found;
    }
    const duration callerTimeout = traits.timeLeft.value_or(defaultDeadline);
    const duration routeTimeout = found.route->timeout;
    found.deadline = arrival + (routeTimeout.count() > 0 ? std::min(callerTimeout, routeTimeout) : callerTimeout);
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
