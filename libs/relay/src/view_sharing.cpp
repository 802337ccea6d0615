#include <algorithm>
#include <relay/view_sharing.h>

namespace pollen {

namespace {

constexpr duration askInterval = std::chrono::milliseconds(250);
// A daemon that has not answered by then is taken for silent; within a failure domain answers take a few milliseconds.
constexpr duration answerTimeout = std::chrono::milliseconds(250);
constexpr duration firstPenalty = std::chrono::seconds(2);
constexpr uint32_t mostDoublings = 4;
// Work of a daemon that has not asked for so long is no longer counted.
constexpr duration workLifetime = std::chrono::seconds(1);
// Daemons before this one that are tried before it reads the store itself.
constexpr size_t mostCandidates = 2;
// Daemons of each failure domain that read the store whatever the others see of it.
constexpr size_t steadyReaders = 3;
// What a daemon with an old view says of the store is believed for so long. It may be asked again sooner.
constexpr duration awayLifetime = std::chrono::seconds(2);
constexpr duration oldViewPenalty = std::chrono::seconds(1);
// A daemon that learns from any other one leaves the store alone for so long.
constexpr duration learntLifetime = std::chrono::milliseconds(1500);
// A daemon that starts waits for so long for the view of one before it, which may be starting as well and is asked
// again soon.
constexpr duration startPatience = std::chrono::milliseconds(400);
constexpr duration startPause = std::chrono::milliseconds(50);
// How often, and for how long, one that stands back looks whether the store answers it after all.
constexpr duration lookInterval = std::chrono::seconds(4);
constexpr duration lookSpan = std::chrono::milliseconds(400);

} // namespace

view_sharing::view_sharing(identity self, age_limits limits, fleet_store& store, server_table& servers,
    rollout_system& rollouts, crash_table& crashTable, crash_sharing& crashes, state_exchange& exchange,
    const clock& time, logger& log)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_store(store)
    , m_servers(servers)
    , m_rollouts(rollouts)
    , m_crashTable(crashTable)
    , m_crashes(crashes)
    , m_exchange(exchange)
    , m_time(time)
    , m_log(log)
    , m_alive(std::make_shared<bool>(true))
{
    m_rollouts.setReading(false);
    m_crashes.setReading(false);
    m_exchange.setSource([this](const std::string& bytes) { return answer(bytes); });
}

void view_sharing::tick(time_point now)
{
    if (m_upstream.empty() && now >= m_nextEntry) {
        m_nextEntry = now + askInterval;
        enterWork(workBeside(m_self.id, now));
    }
    updateReading(now);
    if (m_asked && now - m_askedAt > answerTimeout)
        fail(m_asked->id, "silent", now);
    if (m_asked || now < m_next)
        return;
    const auto peer = choosePeer(now);
    if (!peer) {
        setUpstream({});
        m_next = now + (isStarting(now) ? startPause : askInterval);
        return;
    }
    ask(*peer, now);
}

// The first working daemon of the failure domain before this one; any other while the store cannot be read.
std::optional<listed_peer> view_sharing::choosePeer(time_point now)
{
    const std::vector<listed_peer> daemons = m_store.daemons();
    size_t candidates = 0;
    for (const listed_peer& daemon : daemons) {
        if (daemon.failureDomain != m_self.failureDomain || !(daemon.id < m_self.id))
            continue;
        if (works(daemon.id, now))
            return daemon;
        if (++candidates == mostCandidates)
            break;
    }
    if ((viewAge(now) < m_limits.ofStore && !standsBack(now)) || daemons.empty())
        return std::nullopt;
    // Those that read the store come first.
    std::map<failure_domain_name, size_t> ranks;
    std::vector<const listed_peer*> sources;
    std::vector<const listed_peer*> others;
    for (const listed_peer& daemon : daemons) {
        const bool reads = ranks[daemon.failureDomain]++ < steadyReaders;
        if (daemon.id != m_self.id && works(daemon.id, now))
            (reads ? sources : others).push_back(&daemon);
    }
    const auto& best = sources.empty() ? others : sources;
    return best.empty() ? std::nullopt : std::optional(*best[++m_turn % best.size()]);
}

size_t view_sharing::daemonsBefore() const
{
    const std::vector<listed_peer> daemons = m_store.daemons();
    return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const listed_peer& daemon) {
        return daemon.failureDomain == m_self.failureDomain && daemon.id < m_self.id;
    }));
}

// Where others say that the store does not answer them, a few daemons of each failure domain go on reading it; the rest
// ask these, and look themselves from time to time.
bool view_sharing::standsBack(time_point now) const
{
    return m_heardOldView && now - *m_heardOldView < awayLifetime && daemonsBefore() >= steadyReaders;
}

bool view_sharing::isStarting(time_point now) const
{
    const std::vector<shared_topic*> topics = m_store.topics();
    return !topics.empty() && !topics.front()->known() && (!m_started || now - *m_started < startPatience);
}

bool view_sharing::shouldRead(time_point now) const
{
    if (!m_upstream.empty())
        return false;
    const bool learns = m_learnt && now - *m_learnt < learntLifetime;
    const bool waits = isStarting(now) && !m_store.daemonsKnown();
    if (waits || ((learns || isStarting(now)) && daemonsBefore() > 0))
        return false;
    if (!standsBack(now))
        return true;
    const duration shift(static_cast<duration::rep>(
        std::hash<std::string>()(m_self.id.text()) % static_cast<size_t>(lookInterval.count())));
    return (now.time_since_epoch() + shift) % lookInterval < lookSpan;
}

void view_sharing::updateReading(time_point now)
{
    if (!m_started)
        m_started = now;
    const bool reading = shouldRead(now);
    if (reading == m_reading)
        return;
    m_reading = reading;
    m_store.setReading(reading);
    m_rollouts.setReading(reading);
    m_crashes.setReading(reading);
}

bool view_sharing::works(const instance_id& peer, time_point now) const
{
    const auto found = m_penalties.find(peer);
    return found == m_penalties.end() || now >= found->second.until;
}

duration view_sharing::viewAge(time_point now) const
{
    duration age { 0 };
    const std::vector<shared_topic*> topics = m_store.topics();
    // The first topic is the configuration, which is followed without a pause.
    if (!topics.empty())
        age = now - topics.front()->asOf();
    return age;
}

void view_sharing::ask(const listed_peer& peer, time_point now)
{
    view_request request;
    for (const shared_topic* topic : m_store.topics())
        request.positions.push_back(topic->position());
    request.sender = m_self.id;
    request.reports = m_rollouts.ownReports(now);
    request.work = ownWork();
    request.crashes = m_crashTable.ownUnstored();
    m_asked = peer;
    m_askedAt = now;
    const uint64_t asking = ++m_asking;
    m_exchange.fetch(peer.address, encodeViewRequest(request),
        [this, asking, id = peer.id, now, alive = std::weak_ptr<bool>(m_alive)](
            const std::optional<std::string>& bytes) {
            if (!alive.expired() && asking == m_asking && m_asked)
                onReply(id, bytes, now);
        });
}

void view_sharing::onReply(const instance_id& peer, const std::optional<std::string>& bytes, time_point asked)
{
    const time_point now = m_time.now();
    if (!bytes) {
        fail(peer, "no answer", now);
        if (isStarting(now))
            m_penalties[peer] = { now + startPause, 0 };
        return;
    }
    view_reply reply;
    try {
        reply = decodeViewReply(*bytes);
    } catch (const view_message_error& problem) {
        m_log.write(log_level::Warning, "view_unreadable", { { "peer", peer.text() }, { "problem", problem.what() } });
        fail(peer, "unreadable", now);
        return;
    }
    const std::vector<shared_topic*> topics = m_store.topics();
    if (reply.changes.size() != topics.size() || reply.changes.front().age > m_limits.ofPeers) {
        m_heardOldView = now;
        fail(peer, "view too old", now);
        m_penalties[peer] = { now + oldViewPenalty, 0 };
        return;
    }
    for (size_t i = 0; i < topics.size(); ++i)
        topics[i]->apply(reply.changes[i], asked);
    for (const rollout_report& total : reply.totals)
        m_rollouts.hearTotal(total, now);
    enterWork(reply.work);
    for (const crash_report& report : reply.crashes)
        m_crashTable.hear(report, false);
    m_penalties.erase(peer);
    m_failuresInARow = 0;
    m_asked.reset();
    m_next = asked + askInterval;
    // A daemon that was asked only because the store is out of reach does not take the store's place.
    const auto usual = choosePeer(now);
    const bool isUpstream = usual && usual->id == peer && usual->id < m_self.id;
    if (!isUpstream)
        m_learnt = now;
    setUpstream(isUpstream ? peer : instance_id());
}

void view_sharing::fail(const instance_id& peer, const char* reason, time_point now)
{
    penalty& entry = m_penalties[peer];
    entry.until = now + firstPenalty * (1 << std::min(entry.failures, mostDoublings));
    ++entry.failures;
    m_asked.reset();
    // The daemons of the failure domain are gone through at once; the whole fleet, while the store is away, is not.
    m_next = ++m_failuresInARow <= mostCandidates ? now : now + askInterval;
    m_log.write(log_level::Info, "view_peer_failed", { { "peer", peer.text() }, { "reason", reason } });
}

void view_sharing::setUpstream(const instance_id& peer)
{
    if (m_upstream == peer)
        return;
    m_upstream = peer;
    updateReading(m_time.now());
    m_log.write(log_level::Info, "view_source", { { "upstream", peer.empty() ? std::string("store") : peer.text() } });
}

std::vector<server_work> view_sharing::ownWork() const
{
    std::vector<server_work> work;
    for (const server_row& row : m_servers.rows()) {
        if (row.ownRequests > 0)
            work.push_back({ row.entry.id, row.ownRequests, row.pendingPromptTokens });
    }
    return work;
}

std::vector<server_work> view_sharing::workBeside(const instance_id& daemon, time_point now) const
{
    std::map<instance_id, server_work> sums;
    const auto add = [&](const std::vector<server_work>& work) {
        for (const server_work& item : work) {
            server_work& sum = sums[item.server];
            sum = { item.server, sum.requests + item.requests, sum.unreadTokens + item.unreadTokens };
        }
    };
    for (const auto& [id, member] : m_members) {
        if (id != daemon && now - member.heard < workLifetime)
            add(member.work);
    }
    if (daemon != m_self.id)
        add(ownWork());
    std::vector<server_work> work;
    work.reserve(sums.size());
    for (const auto& [id, sum] : sums)
        work.push_back(sum);
    return work;
}

void view_sharing::enterWork(const std::vector<server_work>& work)
{
    m_servers.clearPeerLoads();
    for (const server_work& item : work)
        m_servers.addPeerLoad(item.server, item.requests, item.unreadTokens);
}

std::string view_sharing::answer(const std::string& bytes)
{
    const time_point now = m_time.now();
    try {
        const view_request request = decodeViewRequest(bytes);
        const std::vector<shared_topic*> topics = m_store.topics();
        if (request.positions.size() != topics.size())
            return {};
        view_reply reply;
        for (size_t i = 0; i < topics.size(); ++i) {
            const auto change = topics[i]->changeSince(request.positions[i], now);
            if (!change)
                return {};
            reply.changes.push_back(*change);
        }
        for (const rollout_report& report : request.reports)
            m_rollouts.hearMember(report, now);
        for (const crash_report& report : request.crashes)
            m_crashTable.hear(report, false);
        m_members[request.sender] = { request.work, now };
        reply.totals = m_rollouts.totals(now);
        reply.work = workBeside(request.sender, now);
        reply.crashes = m_crashTable.unstored();
        return encodeViewReply(reply);
    } catch (const view_message_error& problem) {
        m_log.write(log_level::Warning, "view_request_unreadable", { { "problem", problem.what() } });
        return {};
    }
}

} // namespace pollen
