#pragma once

#include <base/error.h>
#include <relay/crash_report.h>
#include <relay/rollout.h>
#include <relay/shared_topic.h>

namespace pollen {

// A message between daemons that cannot be read.
class fleet_sync_error final : public error {
public:
    using error::error;
};

// Work that daemons have sent to one server and that has not shown a sign of progress yet.
struct server_work {
    instance_id server;
    uint32_t requests = 0;
    uint64_t unreadTokens = 0;

    friend bool operator==(const server_work&, const server_work&) = default;
};

// Asks a daemon for what the sender lacks of its view of the fleet.
struct fleet_sync_request {
    // By topic, in the order in which all daemons keep them.
    std::vector<uint64_t> positions;
    // The daemon that asks.
    instance_id sender;
    // What the sender itself has seen of the roll-outs that are running.
    std::vector<rollout_report> reports;
    // What the sender itself has under way.
    std::vector<server_work> work;
    // What the sender has seen of requests under which servers ended and the store does not hold yet.
    std::vector<crash_report> crashes;

    friend bool operator==(const fleet_sync_request&, const fleet_sync_request&) = default;
};

struct fleet_sync_reply {
    // By topic; empty while the daemon knows nothing.
    std::vector<topic_change> changes;
    // What all daemons together have seen of the roll-outs that are running.
    std::vector<rollout_report> totals;
    // What the other daemons of the group have under way.
    std::vector<server_work> work;
    // What the daemons of the group have seen of requests under which servers ended and the store does not hold yet.
    std::vector<crash_report> crashes;

    friend bool operator==(const fleet_sync_reply&, const fleet_sync_reply&) = default;
};

std::string encodeFleetSyncRequest(const fleet_sync_request& request);
std::string encodeFleetSyncReply(const fleet_sync_reply& reply);

// Both throw fleet_sync_error.
fleet_sync_request decodeFleetSyncRequest(const std::string& bytes);
fleet_sync_reply decodeFleetSyncReply(const std::string& bytes);

} // namespace pollen
