#pragma once

#include <backend/model_engine.h>
#include <backend/routed_service.h>
#include <base/logger.h>
#include <config/daemon_settings.h>
#include <control/bill_ledger.h>
#include <control/claim_ledger.h>
#include <control/rating_system.h>
#include <fleet/fleet_tables.h>
#include <gateway/decision_journal.h>
#include <gateway/gateway_metrics.h>
#include <policy/retry_budget.h>
#include <policy/route_policy.h>

namespace pollen {

// Objects that request handling uses. All of them must outlive every request.
struct gateway_dependencies {
    event_loop& loop;
    const clock& time;
    random_source& random;
    logger& log;
    const daemon_settings& settings;
    fleet_tables& tables;
    const route_policy& policy;
    model_engine& engine;
    routed_service& service;
    bill_ledger& bills;
    claim_ledger& claims;
    gateway_metrics& metrics;
    decision_journal& journal;
    retry_budget& retries;
    // Null if there is no rating service.
    rating_system* ratings;
    // When this instance stops; none while it is not shutting down.
    std::optional<time_point> stopsAt {};
};

} // namespace pollen
