#pragma once

#include <map>
#include <optional>
#include <relay/rollout.h>
#include <set>
#include <vector>

namespace pollen {

// The state of a roll-out as known to this daemon.
struct rollout_row {
    rollout_order order;
    // When this daemon saw the order, or earlier if another daemon reports a greater age of the roll-out.
    time_point startTime {};
    rollout_state state = rollout_state::Running;
    // The answers counted by all daemons show that the new version is bad; it gets no further requests.
    bool rejected = false;
    // Share of sessions that try the new version. Never decreases, since sessions that have moved stay.
    std::optional<double> trialShare;
    // When the trial of sessions started; valid while trialShare is set.
    time_point trialStarted {};
    // The version is to be completed; requests move to it once the exposure allows.
    bool accepted = false;
    // When all requests started to move to the new version.
    std::optional<time_point> moveStarted;
    // Current share of sessions that go to the new version, 0 to 1.
    double share = 0;
    // Whether requests without a session currently go to the new version.
    bool takesSessionlessRequests = false;
    // Whether the trial's requests go to as few servers of the new version as can carry them, to expose these to peak
    // load, rather than to all of its servers.
    bool concentratesLoad = false;
    // Counts the trial windows; each loads other servers.
    uint64_t trialWindowIndex = 0;
    rollout_evidence evidence;
    // Requests per second to all versions, measured at rateMeasuredAt; 0 while unknown.
    double requestsPerSecond = 0;
    // Difference to the measurement before.
    double rateTrend = 0;
    time_point rateMeasuredAt {};
    uint64_t sentAtRateMeasurement = 0;
    // Requests in progress on servers of other versions.
    uint64_t otherVersionRequests = 0;
};

// Roll-outs by service.
class rollout_table {
public:
    // Starts the roll-out of an order; a repeated order has no effect.
    void applyOrder(const rollout_order& order, time_point now);
    void applyStatus(const rollout_status& status);

    // Null when no roll-out of the service is known.
    rollout_row* find(const service_name& service);
    const rollout_row* find(const service_name& service) const;

    // Whether a running roll-out brings in this version.
    bool isOnTrial(const service_name& service, const version_name& version) const;

    std::map<service_name, rollout_row>& rows() { return m_rows; }
    const std::map<service_name, rollout_row>& rows() const { return m_rows; }

private:
    std::map<service_name, rollout_row> m_rows;
    // Includes states that were received before their order.
    std::map<service_name, rollout_status> m_statuses;
};

} // namespace pollen
