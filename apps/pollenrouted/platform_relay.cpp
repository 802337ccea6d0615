#include "platform_relay.h"

namespace pollen {

namespace {

constexpr duration sweepInterval = std::chrono::seconds(1);
// Keys are refused this long before the limit, so that a request on its way to a server does not pass it.
constexpr duration revocationMargin = std::chrono::milliseconds(400);
// Share of the configuration limit after which a configuration that was not confirmed again denies nothing.
constexpr double denialShareOfConfigurationLimit = 0.8;
// Time that a read of the store may take beyond its wait before its view counts as lost: less for other daemons, which
// can read it themselves.
constexpr duration peerAgeMargin = std::chrono::milliseconds(500);
constexpr duration storeAgeMargin = std::chrono::milliseconds(1000);
// How often leaders compare their states within the time in which a configuration must take effect. A change that one
// of them has missed is then known everywhere within half of that time: a comparison, one that is lost, and the request
// of a member.
constexpr int comparisonsPerLimit = 5;
// Entries of servers that are older than this share of the drain limit are looked for elsewhere; the other half is left
// to get them and to pass them on.
constexpr int serverAgesPerDrainLimit = 2;
// The platform's settings hold no secret that only daemons know; the tag of a frame only shows that it is whole.
constexpr const char* peerSecret = "pollenroute";
// Prefixes of the messages between daemons. The prefix changes with the format, so that daemons of two releases give
// each other no answer and read the store instead.
constexpr const char* fleetSyncChannel = "sync-5:";
constexpr const char* permitChannel = "permit-2:";
// Share of what a cold server may get beyond its rate that permits may use at once. The rest covers permits that are
// used late or whose connection takes long.
constexpr double burstShareOfSlack = 0.5;
// Within the 32 MB that the users give a daemon for control; the smallest instance of today has 88 MB.
constexpr size_t answerMemoryBytes = 16U << 20;
constexpr double logLinesPerSecond = 10;
constexpr double failureLogLinesPerSecond = 50;

relay_state::lifetimes configurationLifetimes(const node_settings& settings)
{
    relay_state::lifetimes lifetimes;
    if (settings.revocationLimit)
        lifetimes.keys = *settings.revocationLimit - revocationMargin;
    lifetimes.orders = settings.evacuationLimit;
    lifetimes.denials
        = std::chrono::duration_cast<duration>(settings.configurationLimit * denialShareOfConfigurationLimit);
    return lifetimes;
}

fleet_sync::limits syncLimits(const node_settings& settings)
{
    const duration wait = platform_store::configurationWait(settings);
    return { wait + peerAgeMargin, wait + storeAgeMargin, settings.drainLimit / serverAgesPerDrainLimit,
        settings.configurationLimit / comparisonsPerLimit };
}

} // namespace

platform_relay::platform_relay(event_loop& loop, const node_settings& settings, logger& log, const clock& time)
    : m_log(log)
    , m_time(time)
    , m_coldOvershoot(settings.coldOvershoot)
    , m_coldSlack(settings.coldSlack)
    , m_random(std::random_device()())
    , m_client(loop)
    , m_probe(loop)
    , m_store(
          loop, m_client, settings, { settings.id, settings.failureDomain, settings.peers }, *this, m_random, time, log)
    , m_state(configurationLifetimes(settings))
    , m_rolloutSystem(m_rollouts, m_store, settings.id, static_cast<uint64_t>(time.wallMilliseconds()),
          exposure_limit { settings.exposureShare, settings.exposureSlack }, log)
    , m_crashes(settings.id)
    , m_crashSharing(m_crashes, m_store, time, log)
    , m_rateLimits(m_random)
    , m_evacuations(m_state.servers(), m_rateLimits.warmUps(), log)
    , m_exchange(loop, settings.peers, peerSecret, log)
    , m_channels(m_exchange)
    , m_sharing({ settings.id, settings.failureDomain }, syncLimits(settings), m_store, m_state.servers(),
          m_rolloutSystem, m_crashes, m_crashSharing, m_rateLimits, m_channels.open(fleetSyncChannel), m_random, time,
          log)
    , m_permits(
          { settings.id, settings.failureDomain }, m_store, m_rateLimits, m_channels.open(permitChannel), time, log)
    , m_sessions(settings.sessionIdle)
    , m_servers(m_random)
    , m_repeats({ settings.retryShare, settings.retrySlack, settings.retryWindow })
    , m_answerMemory(answerMemoryBytes)
    , m_logBudget(logLinesPerSecond)
    , m_failureLogBudget(failureLogLinesPerSecond)
    , m_serverEnds(m_crashes, m_state, m_probe, m_metrics, m_failureLogBudget, time, log)
    , m_slowAnswers(settings.slowAnswerExtraRequests)
    , m_shared { loop, time, m_random, log, m_client, m_probe, m_protocol, settings.failureDomain, m_state, m_rollouts,
        m_rolloutSystem, m_sessions, m_servers, m_crashes, m_serverEnds, m_escalation, m_largestPace, m_repeats,
        m_rateLimits, m_permits, m_answerMemory, m_metrics, m_logBudget, m_failureLogBudget, m_usualLatency,
        m_usualPace, m_slowAnswers }
    , m_gateway(m_shared)
{
}

void platform_relay::tick(time_point now)
{
    m_rateLimits.warmUps().removeWarm(now);
    m_sharing.tick(now);
    m_permits.tick(now);
    m_rolloutSystem.tick(now);
    m_serverEnds.tick(now);
    m_crashSharing.tick(now);
    m_gateway.tick(now);
    m_repeats.setDaemonCount(m_store.daemonCount());
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    m_state.servers().sweep();
    m_sessions.removeExpired(now);
    m_rateLimits.removeExpired(m_state.servers(), now);
}

std::string platform_relay::renderMetrics()
{
    m_metrics.setGauges(m_state.configurationAge(m_time.now()), m_gateway.openRequests(),
        m_crashes.countQuarantined(m_time.wallMilliseconds()), m_rateLimits.warmUps().size(),
        m_evacuations.domains().size());
    return m_metrics.render();
}

void platform_relay::onConfiguration(relay_configuration configuration)
{
    const uint64_t version = configuration.version;
    const size_t routes = configuration.routes.size();
    const std::map<service_name, warm_up_rule> rules = warmUpRules(configuration);
    const bool installed = m_state.install(std::move(configuration));
    m_isConfigurationNew = m_isConfigurationNew || installed;
    if (installed)
        m_rateLimits.warmUps().setRules(rules);
    m_log.write(log_level::Info, "configuration",
        { { "version", version }, { "routes", static_cast<int64_t>(routes) },
            { "outcome", installed ? "in_force" : "older_than_in_force" },
            { "upstream", m_sharing.upstream().text() } });
}

void platform_relay::onConfigurationKnown(time_point asOf)
{
    m_state.setConfigurationConfirmed(asOf);
    if (!std::exchange(m_isConfigurationNew, false))
        return;
    m_log.write(log_level::Info, "configuration_confirmed",
        { { "version", m_state.configuration()->configuration().version },
            { "age_ms", toMilliseconds(m_state.configurationAge(m_time.now())) },
            { "upstream", m_sharing.upstream().text() } });
}

std::map<service_name, warm_up_rule> platform_relay::warmUpRules(const relay_configuration& configuration) const
{
    std::map<service_name, warm_up_rule> rules;
    for (const relay_service& service : configuration.services) {
        if (service.warmUpTime <= duration(0) || service.coldRequestsPerSecond <= 0)
            continue;
        const double rate = service.coldRequestsPerSecond;
        const double burst = (rate * (m_coldOvershoot - 1) + m_coldSlack) * burstShareOfSlack;
        rules[service.name] = { service.warmUpTime, rate, std::max(burst, 1.0) };
    }
    return rules;
}

void platform_relay::onServerEntry(const listed_server& server)
{
    if (server.coldLeftUnreadable)
        m_log.write(log_level::Warning, "server_warm_up_unreadable", { { "server", server.entry.id.text() } });
    m_rateLimits.warmUps().recordEntry(
        server.entry.id, server.entry.service, server.coldLeft, m_time.now(), server.processStartMilliseconds);
}

void platform_relay::onServers(const std::vector<listed_server>& list)
{
    m_state.servers().replaceListed(list);
    m_state.setServersKnown();
}

} // namespace pollen
