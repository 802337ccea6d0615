#include <relay/server_end_watch.h>

#include <set>

namespace pollen {

namespace {

// Connections within a region take a few milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(250);
// A server's entry lapses after three heartbeats of silence; on the platform these are a second or two apart.
constexpr duration entryLapse = std::chrono::seconds(10);
// A view of the entries that is older cannot refute anything.
constexpr duration freshView = std::chrono::seconds(3);
// Suspicions beyond are not looked into: that many at once come from the network.
constexpr size_t mostSuspicions = 512;

} // namespace

server_end_watch::server_end_watch(crash_table& table, const relay_state& state, reachability_probe& probe,
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

void server_end_watch::suspect(const suspected_end& end)
{
    if (m_open.size() >= mostSuspicions) {
        m_metrics.countServerEnd(end.service.text(), end.sign, "not_looked_into");
        return;
    }
    m_open.push_back({ end, m_time.wallMilliseconds(), m_time.now() + entryLapse });
    m_probe.startProbe(end.address, probeTimeout,
        [this, server = end.server, alive = std::weak_ptr<bool>(m_alive)](probe_result result) {
            if (!alive.expired())
                onProbed(server, result);
        });
}

void server_end_watch::onProbed(const instance_id& server, probe_result result)
{
    for (open_suspicion& suspicion : m_open) {
        if (suspicion.end.server != server || suspicion.is != stage::Probed)
            continue;
        if (result == probe_result::Refused) {
            count(suspicion);
        } else if (result == probe_result::Unreachable) {
            suspicion.is = stage::Silent;
        } else {
            report(suspicion, "alive");
            suspicion.is = stage::Done;
        }
    }
    forgetDone();
}

void server_end_watch::tick(time_point now)
{
    for (open_suspicion& suspicion : m_open)
        advance(suspicion, now);
    forgetDone();
}

void server_end_watch::advance(open_suspicion& suspicion, time_point now)
{
    if (suspicion.is == stage::Probed)
        return;
    const bool silent = suspicion.is == stage::Silent;
    if (hasNewEntry(suspicion.end)) {
        if (silent)
            count(suspicion);
        suspicion.is = stage::Done;
        return;
    }
    if (now < suspicion.lapse || now - m_state.configurationKnown() > freshView)
        return;
    if (!silent)
        m_table.withdrawEnd(suspicion.end.fingerprint, suspicion.end.server, suspicion.at);
    report(suspicion, silent ? "unknown" : "withdrawn");
    suspicion.is = stage::Done;
}

void server_end_watch::forgetDone()
{
    std::erase_if(m_open, [](const open_suspicion& suspicion) { return suspicion.is == stage::Done; });
}

bool server_end_watch::hasNewEntry(const suspected_end& end) const
{
    const server_table& servers = m_state.servers();
    if (!servers.isListed(end.server))
        return true;
    return servers.row(*servers.find(end.server)).started != end.started;
}

void server_end_watch::count(open_suspicion& suspicion)
{
    suspicion.is = stage::Counted;
    m_table.addEnd(suspicion.end.fingerprint, suspicion.end.server, suspicion.at);
    report(suspicion, "ended");
}

bool server_end_watch::mayNotRunAgain(uint64_t fingerprint) const
{
    std::set<instance_id> suspected;
    for (const open_suspicion& suspicion : m_open) {
        if (suspicion.is != stage::Counted && suspicion.end.fingerprint == fingerprint)
            suspected.insert(suspicion.end.server);
    }
    return m_table.isQuarantined(fingerprint, m_time.wallMilliseconds(), suspected.size());
}

void server_end_watch::report(const open_suspicion& suspicion, const char* verdict)
{
    const suspected_end& end = suspicion.end;
    m_metrics.countServerEnd(end.service.text(), end.sign, verdict);
    if (!m_budget.take(m_time.now()))
        return;
    m_log.write(log_level::Info, "server_end_checked",
        { { "request", end.request.text() }, { "fingerprint", fingerprintText(end.fingerprint) },
            { "server", end.server.text() }, { "service", end.service.text() }, { "sign", end.sign },
            { "verdict", verdict }, { "after_ms", m_time.wallMilliseconds() - suspicion.at },
            { "ends", static_cast<int64_t>(m_table.countEnds(end.fingerprint)) } });
}

} // namespace pollen
