#pragma once

#include <base/clock.h>
#include <fleet/fleet_tables.h>
#include <optional>
#include <string>
#include <vector>

namespace pollen {

// One request as the policy sees it.
struct route_request {
    team_handle team;
    class_handle requestClass;
    // Restricts the choice; empty names restrict nothing.
    version_ref requestedVersion;
    // The version of the caller's session, if it has one.
    std::optional<version_ref> sessionVersion;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    // Time left until the caller's deadline.
    duration timeLeft { 0 };
    // Splits roll-outs: the same value always falls on the same side of a share. 0 up to, not including, 1.
    double rolloutPoint = 0;
    // Servers that have failed this request already.
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

// One version that was looked at, with what was predicted for it.
struct route_candidate {
    version_handle version;
    exclusion excluded = exclusion::None;
    double predictedCost = 0;
    double expectedQuality = 0;
    duration predictedTime { 0 };
};

enum class route_outcome {
    Chosen,
    // No version is allowed to this team that fits what was asked for.
    NothingAllowed,
    // Versions are allowed, and none is expected to be good enough.
    QualityUnreachable,
    // No backend server of a fitting version takes work now.
    NoServerAvailable,
    DeadlineUnreachable,
    // The request asks for another version than the one its session keeps.
    SessionConflict,
};

const char* toText(route_outcome outcome);

enum class route_reason {
    Cheapest,
    Session,
    Rollout,
};

const char* toText(route_reason reason);

// The decision on one request, complete enough to explain itself later.
struct route_decision {
    route_outcome outcome = route_outcome::NothingAllowed;
    route_reason reason = route_reason::Cheapest;
    // Valid when the outcome is Chosen.
    version_handle version;
    server_handle server;
    std::vector<route_candidate> candidates;
};

} // namespace pollen
