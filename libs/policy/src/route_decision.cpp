#include <policy/route_decision.h>

namespace pollen {

const char* toText(exclusion exclusion)
{
    switch (exclusion) {
    case exclusion::None:
        return "none";
    case exclusion::NotRequested:
        return "not_requested";
    case exclusion::NotAllowed:
        return "not_allowed";
    case exclusion::DeniedByException:
        return "denied_by_exception";
    case exclusion::Withdrawn:
        return "withdrawn";
    case exclusion::OutsideRollout:
        return "outside_rollout";
    case exclusion::ClassNotServed:
        return "class_not_served";
    case exclusion::BelowQualityTarget:
        return "below_quality_target";
    case exclusion::NoServer:
        return "no_server";
    case exclusion::TooSlow:
        return "too_slow";
    case exclusion::CostsMore:
        return "costs_more";
    case exclusion::SessionPrefersOther:
        return "session_prefers_other";
    }
    return "none";
}

const char* toText(route_outcome outcome)
{
    switch (outcome) {
    case route_outcome::Chosen:
        return "chosen";
    case route_outcome::NothingAllowed:
        return "nothing_allowed";
    case route_outcome::QualityUnreachable:
        return "quality_unreachable";
    case route_outcome::NoServerAvailable:
        return "no_server_available";
    case route_outcome::DeadlineUnreachable:
        return "deadline_unreachable";
    case route_outcome::SessionConflict:
        return "session_conflict";
    }
    return "nothing_allowed";
}

const char* toText(route_reason reason)
{
    switch (reason) {
    case route_reason::Cheapest:
        return "cheapest";
    case route_reason::Session:
        return "session";
    case route_reason::Rollout:
        return "rollout";
    }
    return "cheapest";
}

} // namespace pollen
