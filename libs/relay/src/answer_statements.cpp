#include "answer_statements.h"

namespace pollen {

namespace {

void recordRateLimit(const relay_dependencies& dependencies, const answered_attempt& attempt,
    const answer_traits& answer, time_point now)
{
    // A server that is too busy to run a request has not ended its limit.
    if (answer.notRun && !answer.rateLimit && !answer.rateLimitUnreadable)
        return;
    if (answer.rateLimitUnreadable) {
        dependencies.log.write(log_level::Warning, "server_limit_unreadable",
            { { "server", attempt.serverId.text() }, { "request", attempt.request.text() } });
        return;
    }
    const auto previous = dependencies.rateLimits.find(attempt.serverId);
    if (dependencies.rateLimits.recordAnswer(attempt.serverId, answer.rateLimit, attempt.sentAt, now))
        dependencies.log.write(log_level::Info, "server_limit",
            { { "server", attempt.serverId.text() }, { "service", attempt.service.text() },
                { "request", attempt.request.text() }, { "previous", previous.value_or(0) },
                { "limit", answer.rateLimit.value_or(0) }, { "named", answer.rateLimit.has_value() } });
}

void recordWarmUp(const relay_dependencies& dependencies, const answered_attempt& attempt, const answer_traits& answer,
    time_point now)
{
    warm_up_table& warmUps = dependencies.rateLimits.warmUps();
    warmUps.recordReachable(attempt.serverId, now);
    if (answer.coldLeftUnreadable) {
        dependencies.metrics.countServerStatement(attempt.service.text(), "unreadable");
        dependencies.log.write(log_level::Warning, "server_warm_up_unreadable",
            { { "server", attempt.serverId.text() }, { "request", attempt.request.text() } });
    }
    if (answer.coldLeft && warmUps.recordAnswer(attempt.serverId, attempt.service, *answer.coldLeft, now)) {
        dependencies.metrics.countServerStatement(attempt.service.text(), "cold");
        dependencies.log.write(log_level::Info, "server_warm_up",
            { { "server", attempt.serverId.text() }, { "service", attempt.service.text() },
                { "request", attempt.request.text() }, { "left_ms", toMilliseconds(*answer.coldLeft) } });
    }
}

} // namespace

void recordStatements(const relay_dependencies& dependencies, const answered_attempt& attempt,
    const answer_traits& answer, time_point now)
{
    // A misdirected request was answered by another server than the one that the row stands for.
    if (answer.misdirected)
        return;
    recordRateLimit(dependencies, attempt, answer, now);
    recordWarmUp(dependencies, attempt, answer, now);
    server_table& servers = dependencies.state.servers();
    if (answer.leaving && servers.reportLeaving(attempt.server)) {
        dependencies.metrics.countServerStatement(attempt.service.text(), "leaving");
        dependencies.log.write(log_level::Info, "server_leaving",
            { { "server", attempt.serverId.text() }, { "service", attempt.service.text() },
                { "request", attempt.request.text() } });
    }
    if (answer.pauseUnreadable) {
        dependencies.metrics.countServerStatement(attempt.service.text(), "unreadable");
        dependencies.log.write(log_level::Warning, "server_pause_unreadable",
            { { "server", attempt.serverId.text() }, { "request", attempt.request.text() } });
    }
    if (answer.pause && servers.reportNotBefore(attempt.server, now + *answer.pause)) {
        dependencies.metrics.countServerStatement(attempt.service.text(), "pause");
        dependencies.log.write(log_level::Info, "server_pause",
            { { "server", attempt.serverId.text() }, { "service", attempt.service.text() },
                { "request", attempt.request.text() }, { "ms", toMilliseconds(*answer.pause) } });
    }
}

} // namespace pollen
