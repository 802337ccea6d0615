#include <algorithm>
#include <relay/fleet_sync.h>

namespace pollen {

namespace {

constexpr duration requestInterval = std::chrono::milliseconds(250);
// Within a failure domain replies take a few milliseconds.
constexpr duration replyTimeout = std::chrono::milliseconds(250);
constexpr duration initialPenalty = std::chrono::seconds(2);
constexpr uint32_t maximumDoublings = 4;
// Pending work of a member that has not sent a request within this time is no longer counted.
constexpr duration workLifetime = std::chrono::seconds(1);
// Preceding daemons that are tried before this one leads and reads the store itself.
constexpr size_t maximumCandidates = 2;
// Daemons of each failure domain that may read the store while others report that it does not answer.
constexpr size_t outageLeaders = 3;
// A reply with an old fleet state counts as a sign that the store is unreachable for this long. Its sender may be
// queried again sooner.
constexpr duration staleReplyLifetime = std::chrono::seconds(2);
constexpr duration staleReplyPenalty = std::chrono::seconds(1);
// A daemon that synced with any other daemon leaves the store alone for this long.
constexpr duration fallbackSyncLifetime = std::chrono::milliseconds(1500);
// A starting daemon waits this long for the fleet state from a preceding daemon, which may be starting as well and is
// queried again after the retry interval.
constexpr duration startTimeout = std::chrono::milliseconds(400);
constexpr duration startRetryInterval = std::chrono::milliseconds(50);
// How often, and for how long, a daemon that backs off polls the store.
constexpr duration probeInterval = std::chrono::seconds(4);
constexpr duration probeDuration = std::chrono::milliseconds(400);

} // namespace

fleet_sync::fleet_sync(identity self, age_limits limits, fleet_store& store, server_table& servers,
    rollout_system& rollouts, crash_table& crashTable, crash_publisher& crashes, server_rate_limits& rateLimits,
    state_exchange& exchange, const clock& time, logger& log)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_store(store)
    , m_servers(servers)
    , m_rollouts(rollouts)
    , m_crashTable(crashTable)
    , m_crashes(crashes)
    , m_rateLimits(rateLimits)
    , m_exchange(exchange)
    , m_time(time)
    , m_log(log)
    , m_aliveToken(std::make_shared<bool>(true))
{
    m_rollouts.setLeader(false);
    m_crashes.setLeader(false);
    m_exchange.setSource([this](const std::string& bytes) { return handleRequest(bytes); });
}

void fleet_sync::tick(time_point now)
{
    if (m_upstream.empty() && now >= m_nextWorkUpdate) {
        m_nextWorkUpdate = now + requestInterval;
        applyPeerWork(workExcluding(m_self.id, now));
    }
    updateLeadership(now);
    if (m_requestedPeer && now - m_requestedAt > replyTimeout)
        recordFailure(m_requestedPeer->id, "silent", now);
    if (m_requestedPeer || now < m_nextRequest)
        return;
    const auto peer = choosePeer(now);
    if (!peer) {
        setUpstream({});
        m_nextRequest = now + (isStarting(now) ? startRetryInterval : requestInterval);
        return;
    }
    sendRequest(*peer, now);
}

// The first available daemon of the failure domain before this one; any other while the store cannot be read.
std::optional<listed_peer> fleet_sync::choosePeer(time_point now)
{
    const std::vector<listed_peer> daemons = m_store.daemons();
    size_t candidates = 0;
    for (const listed_peer& daemon : daemons) {
        if (daemon.failureDomain != m_self.failureDomain || !(daemon.id < m_self.id))
            continue;
        if (isAvailable(daemon.id, now))
            return daemon;
        if (++candidates == maximumCandidates)
            break;
    }
    if ((stateAge(now) < m_limits.maximumOwnAge && !isBackingOff(now)) || daemons.empty())
        return std::nullopt;
    // Daemons that may read the store during an outage come first.
    std::map<failure_domain_name, size_t> ranks;
    std::vector<const listed_peer*> preferredPeers;
    std::vector<const listed_peer*> otherPeers;
    for (const listed_peer& daemon : daemons) {
        const bool isOutageLeader = ranks[daemon.failureDomain]++ < outageLeaders;
        if (daemon.id != m_self.id && isAvailable(daemon.id, now))
            (isOutageLeader ? preferredPeers : otherPeers).push_back(&daemon);
    }
    const auto& best = preferredPeers.empty() ? otherPeers : preferredPeers;
    return best.empty() ? std::nullopt : std::optional(*best[++m_rotation % best.size()]);
}

size_t fleet_sync::precedingDaemons() const
{
    const std::vector<listed_peer> daemons = m_store.daemons();
    return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const listed_peer& daemon) {
        return daemon.failureDomain == m_self.failureDomain && daemon.id < m_self.id;
    }));
}

// While others report that the store does not answer them, only the first daemons of each failure domain keep reading
// it; the rest query these, and poll the store from time to time.
bool fleet_sync::isBackingOff(time_point now) const
{
    return m_staleReplyAt && now - *m_staleReplyAt < staleReplyLifetime && precedingDaemons() >= outageLeaders;
}

bool fleet_sync::isStarting(time_point now) const
{
    const std::vector<shared_topic*> topics = m_store.topics();
    return !topics.empty() && !topics.front()->isSynced() && (!m_startedAt || now - *m_startedAt < startTimeout);
}

bool fleet_sync::shouldLead(time_point now) const
{
    if (!m_upstream.empty())
        return false;
    const bool hasFallback = m_fallbackSyncAt && now - *m_fallbackSyncAt < fallbackSyncLifetime;
    const bool waitsForDaemons = isStarting(now) && !m_store.daemonsKnown();
    if (waitsForDaemons || ((hasFallback || isStarting(now)) && precedingDaemons() > 0))
        return false;
    if (!isBackingOff(now))
        return true;
    const duration phase(static_cast<duration::rep>(
        std::hash<std::string>()(m_self.id.text()) % static_cast<size_t>(probeInterval.count())));
    return (now.time_since_epoch() + phase) % probeInterval < probeDuration;
}

void fleet_sync::updateLeadership(time_point now)
{
    if (!m_startedAt)
        m_startedAt = now;
    const bool isLeader = shouldLead(now);
    if (isLeader == m_isLeader)
        return;
    m_isLeader = isLeader;
    m_store.setLeader(isLeader);
    m_rollouts.setLeader(isLeader);
    m_crashes.setLeader(isLeader);
}

bool fleet_sync::isAvailable(const instance_id& peer, time_point now) const
{
    const auto found = m_penalties.find(peer);
    return found == m_penalties.end() || now >= found->second.until;
}

duration fleet_sync::stateAge(time_point now) const
{
    duration age { 0 };
    const std::vector<shared_topic*> topics = m_store.topics();
    // The first topic is the configuration, which is followed at all times.
    if (!topics.empty())
        age = now - topics.front()->asOf();
    return age;
}

void fleet_sync::sendRequest(const listed_peer& peer, time_point now)
{
    fleet_sync_request request;
    for (const shared_topic* topic : m_store.topics())
        request.positions.push_back(topic->position());
    request.sender = m_self.id;
    request.reports = m_rollouts.groupReports(now);
    request.work = ownWork();
    // A leader speaks for its group: while the store is away, other groups learn from it directly.
    request.crashes = m_isLeader ? m_crashTable.unstored() : m_crashTable.ownUnstored();
    request.rateLimits = m_rateLimits.notices(now);
    m_requestedPeer = peer;
    m_requestedAt = now;
    const uint64_t requestNumber = ++m_requestNumber;
    m_exchange.fetch(peer.address, encodeFleetSyncRequest(request),
        [this, requestNumber, id = peer.id, now, alive = std::weak_ptr<bool>(m_aliveToken)](
            const std::optional<std::string>& bytes) {
            if (!alive.expired() && requestNumber == m_requestNumber && m_requestedPeer)
                onReply(id, bytes, now);
        });
}

void fleet_sync::onReply(const instance_id& peer, const std::optional<std::string>& bytes, time_point requestedAt)
{
    const time_point now = m_time.now();
    if (!bytes) {
        recordFailure(peer, "no answer", now);
        if (isStarting(now))
            m_penalties[peer] = { now + startRetryInterval, 0 };
        return;
    }
    fleet_sync_reply reply;
    try {
        reply = decodeFleetSyncReply(*bytes);
    } catch (const fleet_sync_error& problem) {
        m_log.write(log_level::Warning, "view_unreadable", { { "peer", peer.text() }, { "problem", problem.what() } });
        recordFailure(peer, "unreadable", now);
        return;
    }
    // Crashes do not become wrong with the age of the rest.
    for (const crash_report& report : reply.crashes)
        m_crashTable.merge(report, false);
    const std::vector<shared_topic*> topics = m_store.topics();
    if (reply.changes.size() != topics.size() || reply.changes.front().age > m_limits.maximumPeerAge) {
        m_staleReplyAt = now;
        recordFailure(peer, "view too old", now);
        m_penalties[peer] = { now + staleReplyPenalty, 0 };
        return;
    }
    for (size_t i = 0; i < topics.size(); ++i)
        topics[i]->apply(reply.changes[i], requestedAt);
    for (const rollout_report& total : reply.totals)
        m_rollouts.receiveTotalReport(total, now);
    applyPeerWork(reply.work);
    for (const rate_limit_notice& notice : reply.rateLimits)
        m_rateLimits.merge(notice, requestedAt);
    m_penalties.erase(peer);
    m_consecutiveFailures = 0;
    m_requestedPeer.reset();
    m_nextRequest = requestedAt + requestInterval;
    // A daemon that was queried only because the store is unreachable does not become the upstream.
    const auto preferred = choosePeer(now);
    const bool isUpstream = preferred && preferred->id == peer && preferred->id < m_self.id;
    if (!isUpstream)
        m_fallbackSyncAt = now;
    setUpstream(isUpstream ? peer : instance_id());
}

void fleet_sync::recordFailure(const instance_id& peer, const char* reason, time_point now)
{
    penalty& entry = m_penalties[peer];
    entry.until = now + initialPenalty * (1 << std::min(entry.failures, maximumDoublings));
    ++entry.failures;
    m_requestedPeer.reset();
    // The candidates of the failure domain are tried without a pause; the whole fleet, during an outage of the store,
    // is not.
    m_nextRequest = ++m_consecutiveFailures <= maximumCandidates ? now : now + requestInterval;
    m_log.write(log_level::Info, "view_peer_failed", { { "peer", peer.text() }, { "reason", reason } });
}

void fleet_sync::setUpstream(const instance_id& peer)
{
    if (m_upstream == peer)
        return;
    m_upstream = peer;
    updateLeadership(m_time.now());
    m_log.write(log_level::Info, "view_source", { { "upstream", peer.empty() ? std::string("store") : peer.text() } });
}

std::vector<server_work> fleet_sync::ownWork() const
{
    std::vector<server_work> work;
    for (const server_row& row : m_servers.rows()) {
        if (row.ownRequests > 0)
            work.push_back({ row.entry.id, row.ownRequests, row.pendingPromptTokens });
    }
    return work;
}

std::vector<server_work> fleet_sync::workExcluding(const instance_id& daemon, time_point now) const
{
    std::map<instance_id, server_work> sums;
    const auto add = [&](const std::vector<server_work>& work) {
        for (const server_work& item : work) {
            server_work& sum = sums[item.server];
            sum = { item.server, sum.requests + item.requests, sum.unreadTokens + item.unreadTokens };
        }
    };
    for (const auto& [id, member] : m_members) {
        if (id != daemon && now - member.received < workLifetime)
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

void fleet_sync::applyPeerWork(const std::vector<server_work>& work)
{
    m_servers.clearPeerLoads();
    for (const server_work& item : work)
        m_servers.addPeerLoad(item.server, item.requests, item.unreadTokens);
}

std::string fleet_sync::handleRequest(const std::string& bytes)
{
    const time_point now = m_time.now();
    try {
        const fleet_sync_request request = decodeFleetSyncRequest(bytes);
        const std::vector<shared_topic*> topics = m_store.topics();
        if (request.positions.size() != topics.size())
            return {};
        fleet_sync_reply reply;
        for (size_t i = 0; i < topics.size(); ++i) {
            const auto change = topics[i]->changeSince(request.positions[i], now);
            if (!change)
                return {};
            reply.changes.push_back(*change);
        }
        for (const rollout_report& report : request.reports)
            m_rollouts.receiveMemberReport(report, now);
        for (const crash_report& report : request.crashes)
            m_crashTable.merge(report, false);
        for (const rate_limit_notice& notice : request.rateLimits)
            m_rateLimits.merge(notice, now);
        m_members[request.sender] = { request.work, now };
        reply.totals = m_rollouts.totalReports(now);
        reply.work = workExcluding(request.sender, now);
        reply.crashes = m_crashTable.unstored();
        reply.rateLimits = m_rateLimits.notices(now);
        return encodeFleetSyncReply(reply);
    } catch (const fleet_sync_error& problem) {
        m_log.write(log_level::Warning, "view_request_unreadable", { { "problem", problem.what() } });
        return {};
    }
}

} // namespace pollen
