#include "platform_daemon.h"

#include "platform_relay.h"

#include <config/daemon_settings.h>
#include <csignal>
#include <http/connection_report.h>

namespace pollen {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(50);
// A tick that comes later than this shows that the loop has more to do than the instance's processor allows.
constexpr duration maximumTickDelay = std::chrono::milliseconds(100);
constexpr double delayLogLinesPerSecond = 2;
// The balancer asks once a second and turns away after two misses.
constexpr duration balancerReaction = std::chrono::milliseconds(2500);
// What is left of the platform's grace for the process to end, and for the last answers to be sent before it does.
constexpr duration endMargin = std::chrono::milliseconds(300);
constexpr duration lastAnswersMargin = std::chrono::milliseconds(200);

http_server_limits toServerLimits(const caller_limits& limits, time_point newestUntil)
{
    return { limits.maximumHeaderBytes, limits.maximumBodyBytes, limits.idleTimeout, limits.headerTimeout,
        newestUntil };
}

} // namespace

struct platform_daemon::parts {
    parts(const node_settings& nodeSettings, logger& logger, const clock& clock)
        : settings(nodeSettings)
        , log(logger)
        , time(clock)
        , connections(std::make_shared<connection_budget>(
              deriveConnectionLimits(settings.memoryBytes, settings.descriptors, caller_limits {}.maximumBodyBytes),
              time))
        , connectionReport(*connections, log)
        , monitoringConnections(std::make_shared<connection_budget>(deriveMonitoringLimits(settings.memoryBytes), time))
        , monitoringReport(*monitoringConnections, log, "readiness")
        , relay(loop, settings, log, time)
    {
    }

    node_settings settings;
    logger& log;
    const clock& time;
    event_loop loop;
    std::shared_ptr<connection_budget> connections;
    connection_report connectionReport;
    // Callers must not keep checks of the balancer out, which would take the process out of service.
    std::shared_ptr<connection_budget> monitoringConnections;
    connection_report monitoringReport;
    platform_relay relay;
    std::unique_ptr<http_server> callerServer;
    std::unique_ptr<http_server> readinessServer;
    std::vector<std::unique_ptr<signal_handler>> signals;
    std::string settingsFile;
    std::optional<time_point> shutdownStart;
    bool accepting = true;
    bool hasEndedRequests = false;
    bool ready = false;
    bool clean = true;
    std::optional<time_point> lastTick;
    log_budget delayLogBudget { delayLogLinesPerSecond };
};

platform_daemon::platform_daemon(
    const node_settings& settings, const std::string& settingsFile, logger& log, const clock& time)
    : m_parts(std::make_unique<parts>(settings, log, time))
{
    parts& p = *m_parts;
    p.settingsFile = settingsFile;
    p.callerServer = std::make_unique<http_server>(
        p.loop, settings.callers, toServerLimits({}, p.relay.state().denialsUntil()),
        [&p](const std::shared_ptr<server_request>& request) { p.relay.gateway().handle(request); }, p.connections);
    p.readinessServer = std::make_unique<http_server>(
        p.loop, settings.readiness, http_server_limits {},
        [&p](const std::shared_ptr<server_request>& request) {
            const std::string_view path = targetPath(request->request().target);
            if (path == "/metrics")
                request->reply(200, { { "Content-Type", "text/plain; version=0.0.4" } },
                    p.relay.renderMetrics() + p.connectionReport.renderMetrics());
            else if (path == readinessPath)
                request->reply(p.relay.gateway().ready() ? 200 : 503, {}, "");
            else
                request->reply(404, {}, "");
        },
        p.monitoringConnections);
    for (const int number : { SIGTERM, SIGINT })
        p.signals.push_back(std::make_unique<signal_handler>(p.loop, number, [this] { beginShutdown(); }));
    p.signals.push_back(std::make_unique<signal_handler>(p.loop, SIGHUP, [this] { reload(); }));
    p.relay.start();
}

platform_daemon::~platform_daemon() = default;

bool platform_daemon::run()
{
    parts& p = *m_parts;
    p.log.write(log_level::Info, "started",
        { { "callers", p.callerServer->address().text() }, { "failure_domain", p.settings.failureDomain.text() } });
    timer ticker(p.loop, [this] { tick(); });
    ticker.startRepeating(tickInterval);
    p.loop.run();
    p.log.write(log_level::Info, "stopped", { { "clean", p.clean } });
    return p.clean;
}

void platform_daemon::tick()
{
    parts& p = *m_parts;
    const time_point now = p.time.now();
    const duration late = p.lastTick ? now - *p.lastTick - tickInterval : duration(0);
    p.lastTick = now;
    if (late > maximumTickDelay && p.delayLogBudget.take(now))
        p.log.write(log_level::Warning, "loop_late", { { "late_ms", toMilliseconds(late) } });
    p.relay.tick(now);
    p.connectionReport.tick(now);
    p.monitoringReport.tick(now);
    if (const auto& configuration = p.relay.state().configuration())
        p.callerServer->setLimits(
            toServerLimits(configuration->configuration().limits, p.relay.state().denialsUntil()));
    const bool ready = p.relay.gateway().ready();
    if (ready != std::exchange(p.ready, ready)) {
        p.log.write(log_level::Info, ready ? "ready" : "not_ready",
            { { "configuration_age_ms", toMilliseconds(p.relay.state().configurationAge(now)) },
                { "stopping", p.shutdownStart.has_value() } });
    }
    if (p.shutdownStart)
        continueShutdown();
}

void platform_daemon::reload()
{
    parts& p = *m_parts;
    try {
        const node_settings settings = parseNodeSettings(readFile(p.settingsFile), p.settingsFile);
        p.log.write(log_level::Info, "settings_reloaded", { { "changed", settings != p.settings } });
    } catch (const settings_error& problem) {
        p.log.write(log_level::Error, "settings_refused", { { "problem", problem.what() } });
    }
}

void platform_daemon::beginShutdown()
{
    parts& p = *m_parts;
    if (p.shutdownStart)
        return;
    p.shutdownStart = p.time.now();
    p.relay.gateway().setDraining(*p.shutdownStart + p.settings.stopGrace - endMargin - lastAnswersMargin);
    p.callerServer->setClosing(true);
    p.log.write(
        log_level::Info, "stopping", { { "open_requests", static_cast<int64_t>(p.relay.gateway().openRequests()) } });
}

// Accepts until the balancer has turned away, then waits for requests as long as the platform allows. Those that are
// still in flight are answered before the process ends.
void platform_daemon::continueShutdown()
{
    parts& p = *m_parts;
    const duration passed = p.time.now() - *p.shutdownStart;
    if (passed < balancerReaction)
        return;
    if (std::exchange(p.accepting, false)) {
        p.callerServer->stopAccepting();
        p.relay.gateway().refuseNewRequests();
    }
    p.callerServer->closeIdleConnections();
    const duration left = p.settings.stopGrace - passed;
    if (left <= endMargin + lastAnswersMargin && !std::exchange(p.hasEndedRequests, true)) {
        p.clean = p.relay.gateway().openRequests() == 0;
        p.log.write(log_level::Info, "requests_ended",
            { { "open_requests", static_cast<int64_t>(p.relay.gateway().openRequests()) } });
        p.relay.gateway().endOpenRequests();
    }
    const bool idle = p.relay.gateway().openRequests() == 0 && p.callerServer->openConnections() == 0;
    if (!idle && left > endMargin)
        return;
    p.loop.stop();
}

} // namespace pollen
