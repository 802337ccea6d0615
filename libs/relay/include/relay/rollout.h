#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <relay/rollout_evidence.h>

namespace pollen {

// An operator's order to move a service to another version.
struct rollout_order {
    service_name service;
    version_name target;
    // The roll-out must be complete or rolled back within this time.
    duration timeLimit { 0 };

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_state {
    Running,
    // The servers of other versions stop at once.
    Complete,
    // The servers of the new version are removed.
    RolledBack,
};

// The state of a roll-out as published to the operators.
struct rollout_status {
    service_name service;
    version_name target;
    rollout_state state = rollout_state::Running;

    friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

// The service, version and route that a measurement is counted for.
struct rollout_subject {
    service_name service;
    version_name version;
    std::string route;

    friend bool operator==(const rollout_subject&, const rollout_subject&) = default;
};

// Time to the first byte, or between the events of a stream, compared with the baseline of its kind of request.
enum class latency_grade {
    Normal,
    Slow,
    VerySlow,
};

// What one daemon has counted of a roll-out so far, or the sum over several.
struct rollout_report {
    instance_id daemon;
    // Distinguishes a process from earlier ones with the same id.
    uint64_t incarnation = 0;
    service_name service;
    version_name target;
    // Time since the daemon first saw the order.
    duration age { 0 };
    rollout_evidence evidence;
    // Requests in progress on servers of other versions.
    uint64_t otherVersionRequests = 0;
    // The daemon has rejected the version.
    bool rejected = false;
    // The coordinator has decided that the version is to be completed.
    bool accepted = false;

    friend bool operator==(const rollout_report&, const rollout_report&) = default;
};

// What a leader publishes of a roll-out: its own report and those of its members, each under the name of the daemon
// that counted. All are on the same service and target.
struct rollout_group_report {
    instance_id leader;
    service_name service;
    version_name target;
    std::vector<rollout_report> reports;

    friend bool operator==(const rollout_group_report&, const rollout_group_report&) = default;
};

} // namespace pollen
