#pragma once

#include <base/error.h>
#include <relay/crash_report.h>
#include <relay/rollout.h>
#include <relay/shared_topic.h>
#include <scheduling/server_rate_limits.h>
#include <scheduling/server_work.h>

namespace pollen {

// A message between daemons that cannot be decoded.
class fleet_sync_error final : public error {
public:
    using error::error;
};

// Requests the changes of the fleet state that the sender does not have yet.
struct fleet_sync_request {
    // How far the sender knows each topic, in the order of fleet_store::topics(), which is the same in all daemons.
    std::vector<topic_state> topics;
    // The requesting daemon.
    instance_id sender;
    // Whether the sender belongs to the receiver's group, which sums up the observations and the work of its members. A
    // sender that only compares its state with the receiver's belongs to another group.
    bool isMember = false;
    // The sender cannot read the store, so that changes are not omitted for their size.
    bool acceptsLarge = false;
    // What the sender, and daemons that it has heard from themselves, have counted of the running roll-outs; only of a
    // member.
    std::vector<rollout_report> reports;
    // The sender's own pending work; only of a member.
    std::vector<server_work> work;
    // How far the sender knows the pending work of the receiver's group.
    work_state knownWork;
    // The sender's reports of requests that crashed servers, as far as the store does not hold them and the receiver
    // does not know them yet.
    crash_changes crashes;
    // How far the sender knows the receiver's reports.
    crash_state knownCrashes;
    // The rate limits that servers have named, as far as the sender knows.
    std::vector<rate_limit_notice> rateLimits;
    // Cold servers, as far as the sender knows them other than from their entries.
    std::vector<warm_up_notice> warmUps {};

    friend bool operator==(const fleet_sync_request&, const fleet_sync_request&) = default;
};

struct fleet_sync_reply {
    // The sender of the reply, or the daemon that it queries, cannot read the store at the moment. Its state may still
    // be up to date, as it queries others; its age tells.
    bool hasLostStore = false;
    // Changes of each topic; empty while the daemon has no fleet state.
    std::vector<topic_change> changes;
    // Combined observations of all daemons of the running roll-outs; only for a member.
    std::vector<rollout_report> totals;
    // Changes of the pending work of the group, what the member has reported included; only for a member.
    work_change work;
    // Reports of the group on requests that crashed servers, as far as the store does not hold them and the receiver
    // does not know them yet.
    crash_changes crashes;
    // How far the sender knows the receiver's reports.
    crash_state knownCrashes;
    // The rate limits that servers have named, as far as the group knows.
    std::vector<rate_limit_notice> rateLimits;
    // As in the request.
    std::vector<warm_up_notice> warmUps {};

    friend bool operator==(const fleet_sync_reply&, const fleet_sync_reply&) = default;
};

std::string encodeFleetSyncRequest(const fleet_sync_request& request);
std::string encodeFleetSyncReply(const fleet_sync_reply& reply);

// Both throw fleet_sync_error.
fleet_sync_request decodeFleetSyncRequest(const std::string& bytes);
fleet_sync_reply decodeFleetSyncReply(const std::string& bytes);

} // namespace pollen
