#pragma once

#include <base/clock.h>
#include <fleet/fleet_tables.h>
#include <optional>
#include <string>
#include <vector>

namespace pollen {

// The properties of a request that a policy uses.
struct route_request {
    team_handle team;
    class_handle requestClass;
    // Model and version that the caller asked for; an empty name matches any.
    version_ref requestedVersion;
    // Version of the caller's session, if there is one.
    std::optional<version_ref> sessionVersion;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    // Time until the caller's deadline.
    duration timeLeft { 0 };
    // Hash of the request or its session in [0, 1). A version that is rolling out gets the values below its share, so
    // that a session always gets the same result.
    double rolloutPoint = 0;
    // Servers on which this request has already failed.
    std::vector<server_handle> excluded;
};

// Why a version was not chosen.
enum class exclusion {
    None,
    NotRequested,
    NotAllowed,
    DeniedByException,
    Withdrawn,
    OutsideRollout,
    ClassNotServed,
    BelowQualityTarget,
    NoServer,
    TooSlow,
    CostsMore,
    SessionPrefersOther,
};

const char* toText(exclusion exclusion);

// A version that was considered, with the predictions for it.
struct route_candidate {
    version_handle version;
    exclusion excluded = exclusion::None;
    double predictedCost = 0;
    double expectedQuality = 0;
    duration predictedTime { 0 };
};

enum class route_outcome {
    Chosen,
    // No version that the team may use matches the request.
    NothingAllowed,
    // Versions are allowed, but none is expected to meet the quality target.
    QualityUnreachable,
    // No backend server of a matching version is available.
    NoServerAvailable,
    DeadlineUnreachable,
    // The request asks for a version other than that of its session.
    SessionConflict,
};

const char* toText(route_outcome outcome);

enum class route_reason {
    Cheapest,
    Session,
    Rollout,
};

const char* toText(route_reason reason);

// Result of routing one request, with all candidates so that the log can explain it.
struct route_decision {
    route_outcome outcome = route_outcome::NothingAllowed;
    route_reason reason = route_reason::Cheapest;
    // Valid only if the outcome is Chosen.
    version_handle version;
    server_handle server;
    std::vector<route_candidate> candidates;
};

} // namespace pollen
