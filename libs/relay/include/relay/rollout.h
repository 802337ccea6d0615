#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <relay/rollout_evidence.h>

namespace pollen {

// An operator's order to move a service to another version.
struct rollout_order {
    service_name service;
    version_name target;
    // Time within which the roll-out is to be complete or rolled back.
    duration timeLimit { 0 };

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

// What an answer says something about.
struct rollout_subject {
    service_name service;
    version_name version;
    std::string route;

    friend bool operator==(const rollout_subject&, const rollout_subject&) = default;
};

// How long a first byte took, against what is usual.
enum class latency_grade {
    Normal,
    Slow,
    VerySlow,
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
    rollout_evidence evidence;
    // Requests that are running on servers of other versions.
    uint64_t otherVersionRequests = 0;
    // The daemon, or one that it speaks for, has found the version bad.
    bool rejected = false;
    // The first of the daemons that read has found that all requests shall move to the new version.
    bool moving = false;

    friend bool operator==(const rollout_report&, const rollout_report&) = default;
};

} // namespace pollen
