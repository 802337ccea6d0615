#pragma once

#include <base/logger.h>
#include <base/random_source.h>
#include <http/http_client.h>
#include <http/reachability_probe.h>
#include <relay/answer_pace.h>
#include <relay/crash_detector.h>
#include <relay/crash_table.h>
#include <relay/escalation_control.h>
#include <relay/fleet_retry_budget.h>
#include <relay/log_budget.h>
#include <relay/memory_budget.h>
#include <relay/placement.h>
#include <relay/relay_metrics.h>
#include <relay/relay_protocol.h>
#include <relay/relay_state.h>
#include <relay/rollout_system.h>
#include <relay/session_versions.h>
#include <relay/usual_latency.h>

namespace pollen {

// What the relaying of a request needs; all of it outlives every request.
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
    answer_pace& largestPace;
    fleet_retry_budget& repeats;
    // For answers that are passed on as a whole.
    memory_budget& answerMemory;
    relay_metrics& metrics;
    log_budget& logBudget;
    log_budget& failureLogBudget;
    // Of first bytes, from versions that are not being rolled out.
    usual_latency& usualLatency;
};

} // namespace pollen
