#include "platform_daemon.h"

#include <adapter/platform_protocol.h>
#include <adapter/platform_store.h>
#include <config/daemon_settings.h>
#include <csignal>
#include <peer/tcp_state_exchange.h>
#include <relay/relay_gateway.h>
#include <relay/view_sharing.h>

namespace pollen {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(50);
constexpr duration sweepInterval = std::chrono::seconds(1);
// The balancer asks once a second and turns away after two misses.
constexpr duration balancerReaction = std::chrono::milliseconds(2500);
// What is left of the platform's grace for the process to end.
constexpr duration endMargin = std::chrono::milliseconds(300);
// Keys are refused this long before the limit, so that a request on its way to a server does not pass it.
constexpr duration revocationMargin = std::chrono::milliseconds(400);
// The platform's settings hold no secret that only daemons know; the tag of a frame only shows that it is whole.
constexpr const char* peerSecret = "pollenroute";
constexpr double retryReserve = 8;
constexpr double retryShareOfBound = 0.9;
constexpr double logLinesPerSecond = 10;
constexpr double failureLogLinesPerSecond = 50;

http_server_limits toServerLimits(const caller_limits& limits)
{
    return { limits.maximumHeaderBytes, limits.maximumBodyBytes, limits.idleTimeout, limits.headerTimeout };
}

std::optional<duration> keyLifetime(const node_settings& settings)
{
    if (!settings.revocationLimit)
        return std::nullopt;
    return *settings.revocationLimit - revocationMargin;
}

} // namespace

struct platform_daemon::parts final : platform_store::listener {
    parts(const node_settings& nodeSettings, logger& logger, const clock& clock)
        : settings(nodeSettings)
        , log(logger)
        , time(clock)
        , random(std::random_device()())
        , client(loop)
        , store(
              loop, client, settings, { settings.id, settings.failureDomain, settings.peers }, *this, random, time, log)
        , state(keyLifetime(settings))
        , rolloutSystem(rollouts, store, settings.id, static_cast<uint64_t>(time.wallMilliseconds()), log)
        , exchange(loop, settings.peers, peerSecret, log)
        , sharing({ settings.id, settings.failureDomain }, store, rolloutSystem, exchange, time, log)
        , sessions(settings.sessionIdle)
        , servers(random)
        , retries(settings.retryShare * retryShareOfBound, retryReserve)
        , logBudget(logLinesPerSecond)
        , failureLogBudget(failureLogLinesPerSecond)
        , shared { loop, time, random, log, client, protocol, settings.failureDomain, state, rollouts, rolloutSystem,
            sessions, servers, crashes, retries, metrics, logBudget, failureLogBudget, usualLatency }
        , gateway(shared)
    {
    }

    void onConfiguration(relay_configuration configuration) override
    {
        const uint64_t version = configuration.version;
        const caller_limits limits = configuration.limits;
        const size_t routes = configuration.routes.size();
        const bool installed = state.install(std::move(configuration));
        log.write(log_level::Info, "configuration",
            { { "version", version }, { "routes", static_cast<int64_t>(routes) },
                { "outcome", installed ? "in_force" : "older_than_in_force" } });
        if (installed && callerServer)
            callerServer->setLimits(toServerLimits(limits));
    }

    void onConfigurationKnown(time_point asOf) override { state.setConfigurationKnown(asOf); }

    void onServers(const std::vector<listed_server>& list) override
    {
        state.servers().replaceListed(list);
        state.setServersKnown();
    }

    void onRolloutOrder(const rollout_order& order) override { rollouts.order(order, time.now()); }
    void onRolloutStatus(const rollout_status& status) override { rollouts.status(status); }
    void onRolloutReport(const rollout_report& report) override { rolloutSystem.hear(report, time.now()); }

    node_settings settings;
    logger& log;
    const clock& time;
    random_source random;
    event_loop loop;
    http_client client;
    platform_store store;
    relay_state state;
    rollout_table rollouts;
    rollout_system rolloutSystem;
    tcp_state_exchange exchange;
    view_sharing sharing;
    session_versions sessions;
    placement servers;
    crash_watch crashes;
    retry_budget retries;
    relay_metrics metrics;
    log_budget logBudget;
    log_budget failureLogBudget;
    std::map<std::string, double> usualLatency;
    platform_protocol protocol;
    relay_dependencies shared;
    relay_gateway gateway;
    std::unique_ptr<http_server> callerServer;
    std::unique_ptr<http_server> readinessServer;
    std::vector<std::unique_ptr<signal_watch>> signals;
    std::string settingsFile;
    time_point nextSweep {};
    std::optional<time_point> shutdownStart;
    bool accepting = true;
    bool ready = false;
    bool clean = true;
};

platform_daemon::platform_daemon(
    const node_settings& settings, const std::string& settingsFile, logger& log, const clock& time)
    : m_parts(std::make_unique<parts>(settings, log, time))
{
    parts& p = *m_parts;
    p.settingsFile = settingsFile;
    p.callerServer = std::make_unique<http_server>(p.loop, settings.callers, toServerLimits({}),
        [&p](const std::shared_ptr<server_request>& request) { p.gateway.handle(request); });
    p.readinessServer = std::make_unique<http_server>(
        p.loop, settings.readiness, http_server_limits {}, [&p](const std::shared_ptr<server_request>& request) {
            const std::string_view path = targetPath(request->request().target);
            if (path == "/metrics")
                request->reply(200, { { "Content-Type", "text/plain; version=0.0.4" } }, p.metrics.render());
            else if (path == readinessPath)
                request->reply(p.gateway.ready() ? 200 : 503, {}, "");
            else
                request->reply(404, {}, "");
        });
    for (const int number : { SIGTERM, SIGINT })
        p.signals.push_back(std::make_unique<signal_watch>(p.loop, number, [this] { beginShutdown(); }));
    p.signals.push_back(std::make_unique<signal_watch>(p.loop, SIGHUP, [this] { reload(); }));
    p.store.start();
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
    p.sharing.tick(now);
    p.rolloutSystem.tick(now);
    const bool ready = p.gateway.ready();
    if (ready != std::exchange(p.ready, ready)) {
        p.log.write(log_level::Info, ready ? "ready" : "not_ready",
            { { "configuration_age_ms", toMilliseconds(now - p.state.configurationKnown()) },
                { "stopping", p.shutdownStart.has_value() } });
    }
    if (now >= p.nextSweep) {
        p.nextSweep = now + sweepInterval;
        p.state.servers().sweep();
        p.sessions.sweep(now);
        p.crashes.sweep(now);
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
    p.gateway.setDraining();
    p.callerServer->setClosing(true);
    p.log.write(log_level::Info, "stopping", { { "open_requests", static_cast<int64_t>(p.gateway.openRequests()) } });
}

// Accepts until the balancer has turned away, then waits for requests as long as the platform allows.
void platform_daemon::continueShutdown()
{
    parts& p = *m_parts;
    const duration passed = p.time.now() - *p.shutdownStart;
    if (passed < balancerReaction)
        return;
    if (std::exchange(p.accepting, false)) {
        p.callerServer->stopAccepting();
        p.gateway.refuseNewRequests();
    }
    p.callerServer->closeIdleConnections();
    const bool idle = p.gateway.openRequests() == 0 && p.callerServer->openConnections() == 0;
    if (!idle && passed < p.settings.stopGrace - endMargin)
        return;
    p.clean = idle;
    p.loop.stop();
}

} // namespace pollen
