#pragma once

#include <map>
#include <optional>
#include <relay/rollout.h>
#include <set>
#include <vector>

namespace pollen {

// A roll-out as this daemon knows it.
struct rollout_row {
    rollout_order order;
    // When this daemon first saw the order.
    time_point startTime {};
    rollout_state state = rollout_state::Running;
    // The answers of all daemons show that the new version is bad; it gets nothing more.
    bool rejected = false;
    // Share of sessions that try the new version and the beginning of their trial; fixed from then on.
    std::optional<double> trialShare;
    time_point trialStarted {};
    // The share from the time on at which the trial loads a few servers; never smaller, as sessions do not return.
    std::optional<double> loadPhaseShare;
    // When all requests began to move to the new version.
    std::optional<time_point> moveStarted;
    // Share of sessions that go to the new version, 0 to 1.
    double share = 0;
    // Requests that belong to no session go to the new version at this moment.
    bool takesSessionlessRequests = false;
    // Requests of the trial go to as few servers of the new version as can carry them, so that these meet the load of a
    // crest; at other times to all.
    bool concentratesLoad = false;
    // Counts the spans of the trial; each loads other servers.
    uint64_t trialWindowIndex = 0;
    rollout_evidence evidence;
    // Requests running on servers of other versions.
    uint64_t otherVersionRequests = 0;
};

// Roll-outs by service.
class rollout_table {
public:
    // Takes in an order; a repeated one changes nothing.
    void applyOrder(const rollout_order& order, time_point now);
    void applyStatus(const rollout_status& status);

    // Null when no roll-out of the service is known.
    rollout_row* find(const service_name& service);
    const rollout_row* find(const service_name& service) const;

    std::map<service_name, rollout_row>& rows() { return m_rows; }
    const std::map<service_name, rollout_row>& rows() const { return m_rows; }

private:
    std::map<service_name, rollout_row> m_rows;
    // States that became known before their order.
    std::map<service_name, rollout_status> m_statuses;
};

} // namespace pollen
