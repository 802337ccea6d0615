#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <http/reachability_probe.h>
#include <memory>
#include <optional>
#include <relay/crash_table.h>
#include <relay/log_budget.h>
#include <relay/relay_metrics.h>
#include <relay/relay_state.h>
#include <vector>

namespace pollen {

// A request whose connection to a server broke or stalled while the server ran it.
struct suspected_crash {
    uint64_t fingerprint = 0;
    // Fingerprints of the parts of its prompt that other requests may share.
    std::vector<uint64_t> parts;
    request_id request;
    instance_id server;
    endpoint address;
    service_name service;
    // What raised the suspicion, for the log.
    const char* symptom = "";
    // Start time of the server's process when the request was sent, in Unix milliseconds.
    int64_t processStartMilliseconds = 0;
};

// Detects whether a server crashed while it ran a request. A broken connection alone is weak evidence: networks reset
// connections and servers close idle ones. A server counts as crashed if its address refuses connections, or if it does
// not answer a probe and its entry then disappears or shows a later process start. A firewall at a network partition
// may refuse connections too: a crash is withdrawn if the server's entry is still listed, with the same process start,
// after the time in which it would have expired.
class crash_detector final : public fleet_system {
public:
    crash_detector(crash_table& table, const relay_state& state, reachability_probe& probe, relay_metrics& metrics,
        log_budget& budget, const clock& time, logger& log);

    // Confirms suspicions from the servers' entries and withdraws crashes that the entries refute.
    void tick(time_point now) override;

    void suspect(const suspected_crash& crash);

    // The request must not be sent to another server: it is quarantined, or would be if all suspicions were confirmed,
    // or one of its parts crashes servers.
    bool mayNotRunAgain(uint64_t fingerprint, const std::vector<uint64_t>& parts) const;

private:
    enum class suspicion_stage {
        // A probe is in progress.
        Probing,
        // The address did not answer the probe; waits for a change of the server's entry.
        Silent,
        // Counted as a crash; the server's entry may still refute it.
        Confirmed,
        // The check is complete.
        Done,
    };
    struct open_suspicion {
        suspected_crash crash;
        // Unix milliseconds.
        int64_t timeMilliseconds = 0;
        // Time by which the entry of a crashed server has expired.
        time_point entryExpiry;
        suspicion_stage stage = suspicion_stage::Probing;
    };

    void onProbeResult(const instance_id& server, probe_result result);
    // The entry has been removed, or shows a later process start.
    bool hasEntryChanged(const suspected_crash& crash) const;
    void advance(open_suspicion& suspicion, time_point now);
    void removeDone();
    void confirm(open_suspicion& suspicion);
    void withdraw(const open_suspicion& suspicion);
    void logVerdict(const open_suspicion& suspicion, const char* verdict);

    crash_table& m_table;
    const relay_state& m_state;
    reachability_probe& m_probe;
    relay_metrics& m_metrics;
    log_budget& m_budget;
    const clock& m_time;
    logger& m_log;
    // When the fleet state was last found to be too old to refute a crash.
    std::optional<time_point> m_stateOutdatedAt;
    std::vector<open_suspicion> m_suspicions;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
