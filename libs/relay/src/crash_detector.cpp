#include <relay/crash_detector.h>

#include <set>

namespace pollen {

namespace {

// Connections within a region take a few milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(250);
// A server's entry expires after three missed heartbeats; the platform sends them one or two seconds apart.
constexpr duration entryExpiryTimeout = std::chrono::seconds(10);
// An older fleet state cannot refute a crash.
constexpr duration maximumStateAge = std::chrono::seconds(3);
// Further suspicions are not checked: that many at once indicate a network fault.
constexpr size_t maximumSuspicions = 512;

std::string partsText(const std::vector<uint64_t>& parts)
{
    std::string text;
    for (const uint64_t part : parts) {
        text += fingerprintText(part);
        text += ' ';
    }
    return text;
}

} // namespace

crash_detector::crash_detector(crash_table& table, const relay_state& state, reachability_probe& probe,
    relay_metrics& metrics, log_budget& budget, const clock& time, logger& log)
    : m_table(table)
    , m_state(state)
    , m_probe(probe)
    , m_metrics(metrics)
    , m_budget(budget)
    , m_time(time)
    , m_log(log)
    , m_alive(std::make_shared<bool>(true))
{
}

void crash_detector::suspect(const suspected_crash& crash)
{
    if (m_suspicions.size() >= maximumSuspicions) {
        m_metrics.countServerCrash(crash.service.text(), crash.symptom, "not_looked_into");
        return;
    }
    m_suspicions.push_back({ crash, m_time.wallMilliseconds(), m_time.now() + entryExpiryTimeout });
    m_probe.startProbe(crash.address, probeTimeout,
        [this, server = crash.server, alive = std::weak_ptr<bool>(m_alive)](probe_result result) {
            if (!alive.expired())
                onProbeResult(server, result);
        });
}

void crash_detector::onProbeResult(const instance_id& server, probe_result result)
{
    for (open_suspicion& suspicion : m_suspicions) {
        if (suspicion.crash.server != server || suspicion.stage != suspicion_stage::Probing)
            continue;
        if (result == probe_result::Refused) {
            confirm(suspicion);
        } else if (result == probe_result::Unreachable) {
            suspicion.stage = suspicion_stage::Silent;
        } else {
            logVerdict(suspicion, "alive");
            suspicion.stage = suspicion_stage::Done;
        }
    }
    removeDone();
}

void crash_detector::tick(time_point now)
{
    if (m_state.configurationAge(now) > maximumStateAge)
        m_stateOutdatedAt = now;
    for (open_suspicion& suspicion : m_suspicions)
        advance(suspicion, now);
    removeDone();
}

void crash_detector::advance(open_suspicion& suspicion, time_point now)
{
    if (suspicion.stage == suspicion_stage::Probing)
        return;
    const bool silent = suspicion.stage == suspicion_stage::Silent;
    if (hasEntryChanged(suspicion.crash)) {
        if (silent)
            confirm(suspicion);
        suspicion.stage = suspicion_stage::Done;
        return;
    }
    // Entries do not expire during an outage of the store, so that one that is still listed proves nothing for a while.
    if (now < suspicion.entryExpiry || (m_stateOutdatedAt && now < *m_stateOutdatedAt + entryExpiryTimeout))
        return;
    if (!silent)
        withdraw(suspicion);
    logVerdict(suspicion, silent ? "unknown" : "withdrawn");
    suspicion.stage = suspicion_stage::Done;
}

void crash_detector::removeDone()
{
    std::erase_if(
        m_suspicions, [](const open_suspicion& suspicion) { return suspicion.stage == suspicion_stage::Done; });
}

bool crash_detector::hasEntryChanged(const suspected_crash& crash) const
{
    const server_table& servers = m_state.servers();
    if (!servers.isListed(crash.server))
        return true;
    return servers.row(*servers.find(crash.server)).processStartMilliseconds != crash.processStartMilliseconds;
}

void crash_detector::confirm(open_suspicion& suspicion)
{
    suspicion.stage = suspicion_stage::Confirmed;
    const suspected_crash& crash = suspicion.crash;
    m_table.addCrash(crash.fingerprint, crash.server, suspicion.timeMilliseconds, crash.fingerprint);
    for (const uint64_t part : crash.parts)
        m_table.addCrash(part, crash.server, suspicion.timeMilliseconds, crash.fingerprint);
    logVerdict(suspicion, "ended");
}

void crash_detector::withdraw(const open_suspicion& suspicion)
{
    const suspected_crash& crash = suspicion.crash;
    m_table.withdrawCrash(crash.fingerprint, crash.server, suspicion.timeMilliseconds);
    for (const uint64_t part : crash.parts)
        m_table.withdrawCrash(part, crash.server, suspicion.timeMilliseconds);
}

bool crash_detector::mayNotRunAgain(uint64_t fingerprint, const std::vector<uint64_t>& parts) const
{
    if (m_table.containsCrashingPart(parts, m_time.wallMilliseconds()))
        return true;
    std::set<instance_id> suspected;
    for (const open_suspicion& suspicion : m_suspicions) {
        if (suspicion.stage != suspicion_stage::Confirmed && suspicion.crash.fingerprint == fingerprint)
            suspected.insert(suspicion.crash.server);
    }
    return m_table.isQuarantined(fingerprint, m_time.wallMilliseconds(), suspected.size());
}

void crash_detector::logVerdict(const open_suspicion& suspicion, const char* verdict)
{
    const suspected_crash& crash = suspicion.crash;
    m_metrics.countServerCrash(crash.service.text(), crash.symptom, verdict);
    if (!m_budget.take(m_time.now()))
        return;
    m_log.write(log_level::Info, "server_end_checked",
        { { "request", crash.request.text() }, { "fingerprint", fingerprintText(crash.fingerprint) },
            { "server", crash.server.text() }, { "service", crash.service.text() }, { "sign", crash.symptom },
            { "parts", partsText(crash.parts) }, { "verdict", verdict },
            { "after_ms", m_time.wallMilliseconds() - suspicion.timeMilliseconds },
            { "ends", static_cast<int64_t>(m_table.countCrashes(crash.fingerprint)) } });
}

} // namespace pollen
