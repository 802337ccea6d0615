#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <compare>

namespace pollen {

// An operator's order to move a service to another version.
struct rollout_order {
    service_name service;
    version_name target;
    // Time within which the roll-out is to be complete or rolled back.
    duration allowed { 0 };

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_state {
    Running,
    // The old servers stop at once.
    Complete,
    // The new servers are taken away.
    RolledBack,
};

// What the router has told the operators of a roll-out.
struct rollout_status {
    service_name service;
    version_name target;
    rollout_state state = rollout_state::Running;

    friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

// Answers of one version's servers.
struct version_answers {
    // Answers that have ended.
    uint64_t good = 0;
    uint64_t bad = 0;
    // First bytes that have come or are overdue, and those of them that took much longer than usual.
    uint64_t timed = 0;
    uint64_t slow = 0;

    uint64_t all() const { return good + bad; }

    friend bool operator==(const version_answers&, const version_answers&) = default;
};

// What one daemon has seen of a roll-out so far.
struct rollout_report {
    instance_id daemon;
    // Tells a process from an earlier one under the same id.
    uint64_t incarnation = 0;
    service_name service;
    version_name target;
    // Time since the daemon first saw the order.
    duration age { 0 };
    version_answers targetAnswers;
    version_answers otherAnswers;
    // Requests that are running on servers of other versions.
    uint64_t othersRunning = 0;

    friend bool operator==(const rollout_report&, const rollout_report&) = default;
};

} // namespace pollen
