#pragma once

#include <base/logger.h>
#include <base/random_source.h>
#include <http/http_client.h>
#include <http/reachability_probe.h>
#include <relay/crash_detector.h>
#include <relay/crash_table.h>
#include <relay/latency_baseline.h>
#include <relay/log_budget.h>
#include <relay/memory_budget.h>
#include <relay/pace_baseline.h>
#include <relay/permit_system.h>
#include <relay/relay_metrics.h>
#include <relay/relay_protocol.h>
#include <relay/relay_state.h>
#include <relay/rollout_system.h>
#include <relay/session_versions.h>
#include <scheduling/answer_time_estimator.h>
#include <scheduling/escalation_control.h>
#include <scheduling/fleet_retry_budget.h>
#include <scheduling/placement.h>
#include <scheduling/server_rate_limits.h>
#include <scheduling/slow_answer_policy.h>

namespace pollen {

// Everything that relaying a request depends on. Must outlive all exchanges.
struct relay_dependencies {
    event_loop& loop;
    const clock& time;
    random_source& random;
    logger& log;
    http_client& client;
    reachability_probe& probe;
    const relay_protocol& protocol;
    failure_domain_name failureDomain;
    relay_state& state;
    rollout_table& rollouts;
    rollout_system& rolloutSystem;
    session_versions& sessions;
    placement& servers;
    crash_table& crashes;
    crash_detector& crashDetector;
    escalation_control& escalation;
    answer_time_estimator& largestModelPace;
    fleet_retry_budget& repeats;
    server_rate_limits& rateLimits;
    permit_system& permits;
    // Bounds the memory of answers that are buffered whole before they are forwarded.
    memory_budget& answerMemory;
    relay_metrics& metrics;
    log_budget& logBudget;
    log_budget& failureLogBudget;
    // First-byte latencies of versions that are not being rolled out.
    latency_baseline& usualLatency;
    pace_baseline& usualPace;
    slow_answer_policy& slowAnswers;
};

} // namespace pollen
