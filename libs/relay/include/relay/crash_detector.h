#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <http/reachability_probe.h>
#include <memory>
#include <relay/crash_table.h>
#include <relay/log_budget.h>
#include <relay/relay_metrics.h>
#include <relay/relay_state.h>
#include <vector>

namespace pollen {

// A request whose connection to a server broke or fell silent while it was running there.
struct suspected_crash {
    uint64_t fingerprint = 0;
    request_id request;
    instance_id server;
    endpoint address;
    service_name service;
    // What showed it, for the log.
    const char* symptom = "";
    // Start of the server's process when the request was sent, Unix milliseconds.
    int64_t processStartMilliseconds = 0;
};

// Finds out whether a server has ended under a request. A broken connection alone shows little: networks reset them and
// servers close kept ones. A server has ended when its address refuses connections, or when it is silent and then its
// entry goes or names a later start. A refusal may also come from a firewall of a network that is cut: an end is
// withdrawn when the entry of the server still stands, with the same start, after the time in which it would have
// lapsed.
class crash_detector final : public fleet_system {
public:
    crash_detector(crash_table& table, const relay_state& state, reachability_probe& probe, relay_metrics& metrics,
        log_budget& budget, const clock& time, logger& log);

    // Confirms suspicions by the servers' entries, and withdraws ends that they refute.
    void tick(time_point now) override;

    void suspect(const suspected_crash& crash);

    // The request may go to no further server: it is quarantined, or would be if all suspicions were confirmed.
    bool mayNotRunAgain(uint64_t fingerprint) const;

private:
    enum class suspicion_stage {
        // A probe is under way.
        Probing,
        // The address is silent; the entry will tell.
        Silent,
        // Confirmed as ended; the entry may refute it.
        Confirmed,
        // Nothing more is to be found out.
        Done,
    };
    struct open_suspicion {
        suspected_crash crash;
        // Unix milliseconds.
        int64_t timeMilliseconds = 0;
        // When the entry of a server that has ended has lapsed.
        time_point entryExpiry;
        suspicion_stage stage = suspicion_stage::Probing;
    };

    void onProbeResult(const instance_id& server, probe_result result);
    // The entry has gone, or the server has started again.
    bool hasEntryChanged(const suspected_crash& crash) const;
    void advance(open_suspicion& suspicion, time_point now);
    void removeDone();
    void confirm(open_suspicion& suspicion);
    void logVerdict(const open_suspicion& suspicion, const char* verdict);

    crash_table& m_table;
    const relay_state& m_state;
    reachability_probe& m_probe;
    relay_metrics& m_metrics;
    log_budget& m_budget;
    const clock& m_time;
    logger& m_log;
    std::vector<open_suspicion> m_suspicions;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
