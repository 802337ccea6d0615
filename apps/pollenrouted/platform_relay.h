#pragma once

#include <adapter/platform_protocol.h>
#include <adapter/platform_store.h>
#include <http/connection_probe.h>
#include <peer/exchange_channels.h>
#include <peer/tcp_state_exchange.h>
#include <relay/fleet_sync.h>
#include <relay/relay_gateway.h>
#include <scheduling/evacuation_system.h>

namespace pollen {

// The relay of one instance, fed by the platform's store and by other daemons, without the sockets of its callers.
class platform_relay final : private platform_store::listener {
public:
    // Binds the address for other daemons; throws system_error.
    platform_relay(event_loop& loop, const node_settings& settings, logger& log, const clock& time);

    // Begins to learn about the fleet.
    void start() { m_store.start(); }
    void tick(time_point now);

    relay_gateway& gateway() { return m_gateway; }
    // Prometheus text format.
    std::string renderMetrics();
    const relay_state& state() const { return m_state; }

private:
    void onConfiguration(relay_configuration configuration) override;
    void onConfigurationKnown(time_point asOf) override;
    void onServers(const std::vector<listed_server>& list) override;
    void onServerEntry(const listed_server& server) override;
    void onEvacuations(const std::set<failure_domain_name>& domains) override
    {
        m_evacuations.setDomains(domains, m_time.now());
    }
    void onRolloutOrder(const rollout_order& order) override { m_rollouts.applyOrder(order, m_time.now()); }
    void onRolloutStatus(const rollout_status& status) override { m_rollouts.applyStatus(status); }
    void onCrashReport(const crash_report& report) override { m_crashes.merge(report, true); }
    void onCrashDropped(const crash_report_key& key) override { m_crashes.drop(key); }
    void onRolloutReport(const rollout_group_report& report) override
    {
        m_rolloutSystem.receiveGroupReport(report, m_time.now());
    }

    // What the cold servers of each service bear, by the configuration and the platform's bounds.
    std::map<service_name, warm_up_rule> warmUpRules(const relay_configuration& configuration) const;

    logger& m_log;
    const clock& m_time;
    // See node_settings.
    double m_coldOvershoot;
    double m_coldSlack;
    random_source m_random;
    http_client m_client;
    connection_probe m_probe;
    platform_store m_store;
    relay_state m_state;
    rollout_table m_rollouts;
    rollout_system m_rolloutSystem;
    crash_table m_crashes;
    crash_publisher m_crashSharing;
    server_rate_limits m_rateLimits;
    evacuation_system m_evacuations;
    tcp_state_exchange m_exchange;
    exchange_channels m_channels;
    fleet_sync m_sharing;
    permit_system m_permits;
    session_versions m_sessions;
    placement m_servers;
    escalation_control m_escalation;
    answer_time_estimator m_largestPace;
    fleet_retry_budget m_repeats;
    memory_budget m_answerMemory;
    relay_metrics m_metrics;
    log_budget m_logBudget;
    log_budget m_failureLogBudget;
    crash_detector m_serverEnds;
    latency_baseline m_usualLatency;
    pace_baseline m_usualPace;
    slow_answer_policy m_slowAnswers;
    platform_protocol m_protocol;
    relay_dependencies m_shared;
    relay_gateway m_gateway;
    time_point m_nextSweep {};
    // The configuration in force has not been confirmed yet.
    bool m_isConfigurationNew = false;
};

} // namespace pollen
