#include "daemon.h"

#include <backend/http_model_engine.h>
#include <backend/http_routed_service.h>
#include <base/error.h>
#include <cerrno>
#include <control/configuration_manager.h>
#include <control/instance_sync_system.h>
#include <control/load_poll_system.h>
#include <csignal>
#include <gateway/operator_gateway.h>
#include <http/connection_report.h>
#include <optional>
#include <peer/tcp_state_exchange.h>
#include <peer/udp_peer_transport.h>
#include <platform/http_instance_directory.h>
#include <platform/http_rating_service.h>
#include <platform/http_record_log.h>
#include <platform/memory_record_log.h>
#include <policy/cheapest_sufficient_policy.h>
#include <sys/resource.h>

namespace pollen {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(50);
// Time in which the last answers are sent before the process ends.
constexpr duration lastAnswersMargin = std::chrono::milliseconds(200);
constexpr duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr duration peerSilence = std::chrono::milliseconds(2500);
constexpr size_t journalCapacity = 4096;
constexpr size_t memoryLogRecords = 10000;
constexpr double retryShare = 0.1;
constexpr double retryReserve = 20;

// Sends this daemon's heartbeat at a fixed interval.
class heartbeat_system final : public fleet_system {
public:
    explicit heartbeat_system(peer_node& node)
        : m_node(node)
    {
    }

    void tick(time_point now) override
    {
        if (now < m_next)
            return;
        m_next = now + heartbeatInterval;
        m_node.sendHeartbeats();
    }

private:
    peer_node& m_node;
    time_point m_next {};
};

std::unique_ptr<record_log> makeLog(
    const daemon_settings& settings, event_loop& loop, http_client& client, const clock& time)
{
    if (settings.platform)
        return std::make_unique<http_record_log>(client, settings.platform->log);
    return std::make_unique<memory_record_log>(loop, time, memoryLogRecords);
}

std::unique_ptr<peer_transport> makeTransport(const daemon_settings& settings, event_loop& loop)
{
    if (settings.peers)
        return std::make_unique<udp_peer_transport>(loop, *settings.peers);
    return std::make_unique<null_peer_transport>();
}

std::unique_ptr<state_exchange> makeExchange(const daemon_settings& settings, event_loop& loop, logger& log)
{
    if (settings.peers)
        return std::make_unique<tcp_state_exchange>(loop, *settings.peers, settings.sessionSecret, log);
    return std::make_unique<null_state_exchange>();
}

http_server_limits toServerLimits(const limit_settings& limits)
{
    return { limits.maximumHeaderBytes, limits.maximumBodyBytes, limits.requestTimeout };
}

// Soft limit of the process.
size_t systemDescriptors()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        throw system_error("getrlimit", errno);
    return limit.rlim_cur;
}

} // namespace

struct daemon::parts {
    parts(const daemon_settings& daemonSettings, logger& logger, const clock& clock)
        : settings(daemonSettings)
        , log(logger)
        , time(clock)
        , random(std::random_device()())
        , connections(std::make_shared<connection_budget>(
              deriveConnectionLimits(settings.limits.memoryBytes,
                  settings.limits.descriptors.value_or(systemDescriptors()), settings.limits.maximumBodyBytes),
              time))
        , connectionReport(*connections, log, "callers, operators")
        , client(loop)
        , platformLog(makeLog(settings, loop, client, time))
        , transport(makeTransport(settings, loop))
        , exchange(makeExchange(settings, loop, log))
        , peers(settings.id, peerSilence)
        , node({ settings.id, settings.failureDomain, static_cast<uint64_t>(time.wallMilliseconds()),
                   settings.sessionSecret },
              *transport, peers, time, random, log)
        , engine(client, settings.limits.connectTimeout)
        , service(client, settings.limits.connectTimeout)
        , bills(loop, node, peers, *platformLog, random, time, log)
        , claims(loop, *platformLog, node, peers, random, time, log)
        , journal(journalCapacity)
        , retries(retryShare, retryReserve)
        , shared { loop, time, random, log, settings, tables, policy, engine, service, bills, claims, metrics, journal,
            retries, nullptr }
        , callers(shared)
    {
    }

    daemon_settings settings;
    logger& log;
    const clock& time;
    random_source random;
    event_loop loop;
    std::shared_ptr<connection_budget> connections;
    connection_report connectionReport;
    http_client client;
    std::unique_ptr<record_log> platformLog;
    std::unique_ptr<peer_transport> transport;
    std::unique_ptr<state_exchange> exchange;
    peer_table peers;
    peer_node node;
    fleet_tables tables;
    cheapest_sufficient_policy policy;
    http_model_engine engine;
    http_routed_service service;
    bill_ledger bills;
    claim_ledger claims;
    gateway_metrics metrics;
    decision_journal journal;
    retry_budget retries;
    gateway_dependencies shared;
    caller_gateway callers;
    std::unique_ptr<configuration_manager> configuration;
    std::unique_ptr<http_instance_directory> directory;
    std::unique_ptr<http_rating_service> ratingService;
    std::unique_ptr<rating_system> ratings;
    std::vector<std::unique_ptr<fleet_system>> ownedSystems;
    std::vector<fleet_system*> systems;
    std::unique_ptr<operator_gateway> operators;
    std::unique_ptr<http_server> callerServer;
    std::unique_ptr<http_server> operatorServer;
    std::vector<std::unique_ptr<signal_handler>> signals;
    std::optional<time_point> shutdownStart;
    bool hasEndedRequests = false;
    bool clean = true;
};

daemon::daemon(const daemon_settings& settings, logger& log, const clock& time)
    : m_parts(std::make_unique<parts>(settings, log, time))
{
    parts& p = *m_parts;
    const auto addSystem = [&p](std::unique_ptr<fleet_system> system) {
        p.systems.push_back(system.get());
        p.ownedSystems.push_back(std::move(system));
    };
    addSystem(std::make_unique<heartbeat_system>(p.node));
    addSystem(std::make_unique<load_poll_system>(p.engine, p.tables));
    p.systems.push_back(&p.bills);
    p.systems.push_back(&p.claims);
    if (settings.platform) {
        p.directory = std::make_unique<http_instance_directory>(p.client, settings.platform->instances);
        addSystem(std::make_unique<instance_sync_system>(*p.directory, p.tables, p.peers, log));
        p.configuration = std::make_unique<configuration_manager>(
            p.loop, *p.platformLog, p.tables, p.peers, *p.exchange, settings.id, p.random, time, log);
        p.systems.push_back(p.configuration.get());
        p.configuration->start();
        if (settings.platform->ratings) {
            p.ratingService = std::make_unique<http_rating_service>(p.client, *settings.platform->ratings);
            p.ratings = std::make_unique<rating_system>(*p.ratingService, p.random);
            p.shared.ratings = p.ratings.get();
            p.systems.push_back(p.ratings.get());
        }
    } else {
        const std::string& path = *settings.fleetFile;
        p.tables.install(std::make_shared<const fleet_document>(parseFleetDocument(readFile(path), path)));
    }
    p.claims.start();
    p.operators = std::make_unique<operator_gateway>(
        operator_dependencies { p.callers, p.shared, p.node, p.peers, p.configuration.get(), &p.connectionReport });
    const http_server_limits limits = toServerLimits(settings.limits);
    p.callerServer = std::make_unique<http_server>(
        p.loop, settings.callers, limits,
        [&p](const std::shared_ptr<server_request>& request) { p.callers.handle(request); }, p.connections);
    p.operatorServer = std::make_unique<http_server>(
        p.loop, settings.operators, limits,
        [&p](const std::shared_ptr<server_request>& request) { p.operators->handle(*request); }, p.connections);
    for (const int number : { SIGTERM, SIGINT })
        p.signals.push_back(std::make_unique<signal_handler>(p.loop, number, [this] { beginShutdown(); }));
}

daemon::~daemon() = default;

bool daemon::run()
{
    parts& p = *m_parts;
    p.log.write(log_level::Info, "listening",
        { { "callers", p.callerServer->address().text() }, { "operators", p.operatorServer->address().text() },
            { "failure_domain", p.settings.failureDomain.text() } });
    timer ticker(p.loop, [this] { tick(); });
    ticker.startRepeating(tickInterval);
    p.loop.run();
    p.log.write(log_level::Info, "stopped", { { "clean", p.clean } });
    return p.clean;
}

void daemon::tick()
{
    parts& p = *m_parts;
    const time_point now = p.time.now();
    p.node.setStatus({ p.configuration ? p.configuration->version() : 0, p.shutdownStart.has_value(),
        static_cast<uint32_t>(p.callers.openRequests()) });
    for (fleet_system* system : p.systems)
        system->tick(now);
    p.connectionReport.tick(now);
    p.tables.servers().sweep();
    if (p.shutdownStart)
        continueShutdown();
}

void daemon::beginShutdown()
{
    parts& p = *m_parts;
    if (p.shutdownStart)
        return;
    p.shutdownStart = p.time.now();
    p.callers.setDraining(*p.shutdownStart + p.settings.limits.drainTimeout - lastAnswersMargin);
    p.callerServer->setClosing(true);
    p.node.setStatus(
        { p.configuration ? p.configuration->version() : 0, true, static_cast<uint32_t>(p.callers.openRequests()) });
    p.node.sendHeartbeats();
    p.log.write(
        log_level::Info, "shutdown_started", { { "open_requests", static_cast<int64_t>(p.callers.openRequests()) } });
}

// Accepts for the grace time, so that the balancer can turn away; then waits for requests, bills and claims. Requests
// that are still open at the end are answered before the process ends.
void daemon::continueShutdown()
{
    parts& p = *m_parts;
    const duration passed = p.time.now() - *p.shutdownStart;
    if (passed < p.settings.limits.drainGrace)
        return;
    p.callerServer->stopAccepting();
    const bool isEnding = passed + lastAnswersMargin >= p.settings.limits.drainTimeout;
    if (isEnding && !std::exchange(p.hasEndedRequests, true)) {
        p.clean = p.callers.openRequests() == 0;
        p.callers.endOpenRequests();
    }
    const bool idle = p.callers.openRequests() == 0 && p.callerServer->openRequests() == 0;
    const bool settled = p.bills.isFlushed() && p.claims.isFlushed();
    const bool overdue = passed >= p.settings.limits.drainTimeout;
    if (!overdue && !(idle && settled))
        return;
    p.clean = p.clean && idle;
    p.loop.stop();
}

} // namespace pollen
