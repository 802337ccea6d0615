#include <algorithm>
#include <relay/fleet_sync.h>

namespace pollen {

namespace {

constexpr duration requestInterval = std::chrono::milliseconds(250);
// Within a failure domain replies take a few milliseconds.
constexpr duration replyTimeout = std::chrono::milliseconds(250);
// A reply that takes longer than this is late, and another daemon is queried as well.
constexpr duration hedgeDelay = std::chrono::milliseconds(100);
// Replies that are late time after time show load, which hedges would only add to.
constexpr duration hedgeInterval = std::chrono::milliseconds(1000);
// A reply with large changes takes as long as the links need.
constexpr duration largeReplyTimeout = std::chrono::seconds(3);
// Changes of a topic beyond this size are omitted. Some fifty members of a group share a link of 10 Mbit/s.
constexpr size_t maximumChangeBytes = 32U << 10;
// Changes of a topic beyond this size are sent in parts, so that the replies to all members fit onto the leader's link
// before they count as silent.
constexpr size_t maximumPartBytes = 8U << 10;
// Crash reports in a message, of 100 to 350 bytes each. Further ones follow with the next message, or come from the
// store.
constexpr size_t maximumCrashReports = 64;
// The store should have supplied an omitted change by then.
constexpr duration omittedPatience = std::chrono::milliseconds(800);
constexpr duration initialPenalty = std::chrono::seconds(2);
constexpr uint32_t maximumDoublings = 4;
// Daemons of each failure domain, the leader and its deputies, that may read the store while it does not answer the
// leader. The others query these.
constexpr size_t storeReaders = 3;
// Requests that may follow each other without a pause because the daemons before were of no use.
constexpr size_t maximumImmediateRequests = 2;
// How long a daemon that has reported the loss of the store is not preferred, and how long a second report is not news.
constexpr duration storeLossLifetime = std::chrono::seconds(2);
constexpr duration storeLossNewsInterval = std::chrono::seconds(10);
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
constexpr duration loadReportInterval = std::chrono::seconds(1);
// Daemons that answer fewer requests within the interval do not report them.
constexpr uint64_t minimumReportedRequests = 8;
// The first topics, configuration and servers, are read at all times; the others only while they are needed.
constexpr size_t alwaysReadTopics = 2;
constexpr size_t serverTopic = 1;

// Adds the time since it was made, or since the last lap, to the given sum.
class lap_timer {
public:
    explicit lap_timer(const clock& time)
        : m_time(time)
        , m_start(time.now())
    {
    }

    void addTo(duration& sum)
    {
        const time_point now = m_time.now();
        sum += now - std::exchange(m_start, now);
    }

private:
    const clock& m_time;
    time_point m_start;
};

} // namespace

fleet_sync::fleet_sync(identity self, const limits& limits, fleet_store& store, server_table& servers,
    rollout_system& rollouts, crash_table& crashTable, crash_publisher& crashes, server_rate_limits& rateLimits,
    state_exchange& exchange, random_source& random, const clock& time, logger& log)
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
    , m_process(std::uniform_int_distribution<uint64_t>(1)(random))
    , m_groupWork(m_process)
    , m_aliveToken(std::make_shared<bool>(true))
{
    m_rollouts.setLeader(false);
    m_crashes.setLeader(false);
    m_exchange.setSource([this](const std::string& bytes) { return handleRequest(bytes); });
}

void fleet_sync::tick(time_point now)
{
    updateWork(now);
    updateLeadership(now);
    noticeStoreLoss(now);
    dropSilentRequests(now);
    reportAges(now);
    reportLoad(now);
    const bool isLate = m_pending.size() == 1 && now - m_pending.front().sentAt >= hedgeDelay;
    if (isLate && !m_pending.front().acceptsLarge && now >= m_nextHedge) {
        if (const auto hedge = chooseHedge(now)) {
            m_nextHedge = now + hedgeInterval;
            sendRequest(*hedge, false, now);
        }
    }
    if (!m_pending.empty() || now < m_nextRequest)
        return;
    const auto peer = choosePeer(now);
    if (!peer) {
        setUpstream({});
        m_nextRequest = now + (isStarting(now) ? startRetryInterval : requestInterval);
        if (m_isLeader)
            m_nextRequest = std::min(m_nextRequest, std::max(now, m_nextComparison));
        return;
    }
    m_nextComparison = now + m_limits.comparisonInterval;
    const bool isComparison = m_isLeader && !needsSubstitute(now) && !choosePredecessor(now);
    sendRequest(*peer, !isComparison, now);
}

void fleet_sync::noticeStoreLoss(time_point now)
{
    const bool reads = !m_isLeader || readsStore(now);
    if (std::exchange(m_didReadStore, reads) && !reads)
        m_nextRequest = now;
    const bool canRead = !m_isLeader || m_store.isReachable();
    // Without the store a leader knows the counts of its own group only, and must not decide for all.
    if (std::exchange(m_couldReadStore, canRead) != canRead)
        m_rollouts.setLeader(m_isLeader && canRead);
}

bool fleet_sync::readsStore(time_point now) const
{
    const std::vector<shared_topic*> topics = m_store.topics();
    const bool hasServers = topics.size() > serverTopic && topics[serverTopic]->isSynced();
    const bool isCurrent = !hasServers || now - topics[serverTopic]->asOf() <= m_limits.maximumServerAge;
    return m_store.isReachable() && m_store.serversReachable() && isCurrent;
}

// A leader queries others when its own state may be outdated, and otherwise to compare states from time to time.
std::optional<listed_peer> fleet_sync::choosePeer(time_point now) const
{
    if (auto predecessor = choosePredecessor(now))
        return predecessor;
    if (needsSubstitute(now))
        return chooseSubstitute(now);
    return m_isLeader && now >= m_nextComparison ? chooseOtherLeader(now) : std::nullopt;
}

// The first available daemon of the failure domain before this one. A deputy reads the store itself instead of querying
// a leader that cannot read it.
std::optional<listed_peer> fleet_sync::choosePredecessor(time_point now) const
{
    std::optional<listed_peer> withoutStore;
    size_t candidates = 0;
    size_t preceding = 0;
    for (const listed_peer& daemon : m_store.daemons()) {
        if (daemon.failureDomain != m_self.failureDomain || !(daemon.id < m_self.id))
            continue;
        ++preceding;
        if (candidates == storeReaders)
            continue;
        ++candidates;
        if (!isAvailable(daemon.id, now) || isPending(daemon.id))
            continue;
        if (!hasLostStore(daemon.id, now))
            return daemon;
        if (!withoutStore)
            withoutStore = daemon;
    }
    return preceding >= storeReaders ? withoutStore : std::nullopt;
}

bool fleet_sync::needsSubstitute(time_point now) const
{
    return (m_isLeader && !readsStore(now)) || stateAge(now) >= m_limits.maximumOwnAge || isBackingOff(now);
}

// The first available daemon of each other failure domain probably leads it.
std::optional<listed_peer> fleet_sync::chooseOtherLeader(time_point now) const
{
    const std::vector<listed_peer> daemons = m_store.daemons();
    std::set<failure_domain_name> domains { m_self.failureDomain };
    std::vector<const listed_peer*> leaders;
    for (const listed_peer& daemon : daemons) {
        if (!isAvailable(daemon.id, now) || isPending(daemon.id) || hasLostStore(daemon.id, now))
            continue;
        if (domains.insert(daemon.failureDomain).second)
            leaders.push_back(&daemon);
    }
    return rotate(leaders);
}

// Any daemon may have what this one lacks; those that can read the store come first, then those that may read it during
// an outage.
std::optional<listed_peer> fleet_sync::chooseSubstitute(time_point now) const
{
    const std::vector<listed_peer> daemons = m_store.daemons();
    std::map<failure_domain_name, size_t> ranks;
    std::vector<const listed_peer*> readers;
    std::vector<const listed_peer*> readersWithoutStore;
    std::vector<const listed_peer*> otherPeers;
    for (const listed_peer& daemon : daemons) {
        const bool isReader = ranks[daemon.failureDomain]++ < storeReaders;
        if (daemon.id == m_self.id || !isAvailable(daemon.id, now) || isPending(daemon.id))
            continue;
        if (!isReader)
            otherPeers.push_back(&daemon);
        else if (hasLostStore(daemon.id, now))
            readersWithoutStore.push_back(&daemon);
        else
            readers.push_back(&daemon);
    }
    for (const auto& group : { readers, readersWithoutStore }) {
        if (!group.empty())
            return rotate(group);
    }
    return rotate(otherPeers);
}

std::optional<listed_peer> fleet_sync::chooseHedge(time_point now) const
{
    if (auto predecessor = choosePredecessor(now))
        return predecessor;
    return chooseSubstitute(now);
}

std::optional<listed_peer> fleet_sync::rotate(const std::vector<const listed_peer*>& peers) const
{
    if (peers.empty())
        return std::nullopt;
    const auto next
        = std::find_if(peers.begin(), peers.end(), [&](const listed_peer* peer) { return m_lastQueried < peer->id; });
    return next == peers.end() ? *peers.front() : **next;
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
    return m_staleReplyAt && now - *m_staleReplyAt < staleReplyLifetime && precedingDaemons() >= storeReaders;
}

bool fleet_sync::isStarting(time_point now) const
{
    const std::vector<shared_topic*> topics = m_store.topics();
    return !topics.empty() && !topics.front()->isSynced() && (!m_startedAt || now - *m_startedAt < startTimeout);
}

// The store may have come back from a copy that is older than what the others know, so they are asked first.
bool fleet_sync::hasAskedOthers() const
{
    return m_store.daemonCount() <= 1 || m_consecutiveFailures >= maximumImmediateRequests;
}

bool fleet_sync::shouldLead(time_point now) const
{
    if (!m_upstream.empty())
        return false;
    const bool hasFallback = m_fallbackSyncAt && now - *m_fallbackSyncAt < fallbackSyncLifetime;
    if (isStarting(now) && (!m_store.daemonsKnown() || precedingDaemons() > 0 || !hasAskedOthers()))
        return false;
    if (hasFallback && precedingDaemons() >= storeReaders)
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
    m_couldReadStore = !isLeader || m_store.isReachable();
    m_rollouts.setLeader(isLeader && m_couldReadStore);
    m_crashes.setLeader(isLeader);
}

bool fleet_sync::isAvailable(const instance_id& peer, time_point now) const
{
    const auto found = m_penalties.find(peer);
    return found == m_penalties.end() || now >= found->second.until;
}

bool fleet_sync::isPending(const instance_id& peer) const
{
    return std::any_of(
        m_pending.begin(), m_pending.end(), [&](const pending_request& request) { return request.peer.id == peer; });
}

bool fleet_sync::hasLostStore(const instance_id& peer, time_point now) const
{
    const auto found = m_storeLosses.find(peer);
    return found != m_storeLosses.end() && now - found->second < storeLossLifetime;
}

bool fleet_sync::hasLostStore(time_point now) const
{
    return m_upstream.empty() ? m_isLeader && !readsStore(now) : hasLostStore(m_upstream, now);
}

void fleet_sync::reportLoad(time_point now)
{
    if (now < m_nextLoadReport)
        return;
    m_nextLoadReport = now + loadReportInterval;
    const sync_load load = std::exchange(m_load, {});
    if (load.requests < minimumReportedRequests)
        return;
    m_log.write(log_level::Info, "sync_load",
        { { "leader", m_isLeader }, { "members", static_cast<int64_t>(m_groupWork.members()) },
            { "requests", load.requests }, { "request_bytes", static_cast<int64_t>(load.requestBytes) },
            { "reply_bytes", static_cast<int64_t>(load.replyBytes) }, { "changes_us", load.changes.count() },
            { "totals_us", load.totals.count() }, { "work_us", load.work.count() },
            { "coding_us", load.coding.count() }, { "state_age_ms", toMilliseconds(stateAge(now)) } });
}

void fleet_sync::reportAges(time_point now)
{
    const std::vector<shared_topic*> topics = m_store.topics();
    for (size_t i = 0; i < topics.size(); ++i) {
        if (!topics[i]->isSynced() || i >= alwaysReadTopics)
            continue;
        const duration limit = i == serverTopic ? m_limits.maximumServerAge : m_limits.maximumPeerAge;
        const bool isOutdated = now - topics[i]->asOf() > limit;
        if (isOutdated == m_outdatedTopics.contains(i))
            continue;
        if (isOutdated)
            m_outdatedTopics.insert(i);
        else
            m_outdatedTopics.erase(i);
        m_log.write(log_level::Info, isOutdated ? "topic_outdated" : "topic_current",
            { { "topic", static_cast<int64_t>(i) }, { "upstream", m_upstream.text() }, { "leader", m_isLeader },
                { "position", topics[i]->position().offset } });
    }
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

void fleet_sync::sendRequest(const listed_peer& peer, bool isMember, time_point now)
{
    fleet_sync_request request;
    for (const shared_topic* topic : m_store.topics())
        request.topics.push_back(topic->state());
    request.sender = m_self.id;
    request.isMember = isMember;
    request.acceptsLarge = needsLargeChanges(now);
    if (isMember) {
        request.reports = m_rollouts.memberReports(now);
        request.work = ownWork();
        request.knownWork = m_work.state();
    }
    // A leader speaks for its group: while the store is away, other groups learn from it directly.
    crash_exchange& crashes = m_crashExchanges[peer.id];
    const auto reporters = m_isLeader ? crash_table::reporters::All : crash_table::reporters::Self;
    if (std::exchange(crashes.sent, reporters) != reporters)
        crashes.knownByPeer = {};
    request.crashes = crashesFor(crashes.knownByPeer, reporters);
    request.knownCrashes = crashes.knownHere;
    request.rateLimits = m_rateLimits.notices(now);
    request.warmUps = m_rateLimits.warmUps().notices(now);
    m_lastQueried = peer.id;
    const uint64_t number = ++m_requestNumber;
    m_pending.push_back({ number, peer, now, isMember, request.acceptsLarge, request.work });
    m_exchange.fetch(peer.address, encodeFleetSyncRequest(request),
        [this, number, alive = std::weak_ptr<bool>(m_aliveToken)](const std::optional<std::string>& bytes) {
            if (!alive.expired())
                onReply(number, bytes);
        });
}

duration fleet_sync::pending_request::timeout() const { return acceptsLarge ? largeReplyTimeout : replyTimeout; }

bool fleet_sync::needsLargeChanges(time_point now) const
{
    const bool isLate = std::any_of(m_omittedSince.begin(), m_omittedSince.end(),
        [&](const auto& omitted) { return now - omitted.second >= omittedPatience; });
    return isLate || (!m_omittedSince.empty() && needsSubstitute(now));
}

void fleet_sync::readOmitted(const fleet_sync_reply& reply, time_point now)
{
    const std::vector<shared_topic*> topics = m_store.topics();
    for (size_t i = 0; i < topics.size(); ++i) {
        const bool isMissing = reply.changes[i].isOmitted && topics[i]->position() <= reply.changes[i].position;
        if (!isMissing) {
            m_omittedSince.erase(i);
            continue;
        }
        m_omittedSince.emplace(i, now);
        m_store.readOnce(i);
    }
}

void fleet_sync::dropSilentRequests(time_point now)
{
    for (const pending_request& request : std::vector(m_pending)) {
        if (now - request.sentAt > request.timeout())
            recordFailure(request, "silent", now);
    }
}

void fleet_sync::onReply(uint64_t number, const std::optional<std::string>& bytes)
{
    const auto found = std::find_if(
        m_pending.begin(), m_pending.end(), [&](const pending_request& item) { return item.number == number; });
    if (found == m_pending.end())
        return;
    const pending_request request = *found;
    const time_point now = m_time.now();
    if (!bytes) {
        recordFailure(request, "no answer", now);
        if (isStarting(now))
            m_penalties[request.peer.id] = { now + startRetryInterval, 0 };
        return;
    }
    try {
        applyReply(request, decodeFleetSyncReply(*bytes), now);
    } catch (const fleet_sync_error& problem) {
        m_log.write(log_level::Warning, "view_unreadable",
            { { "peer", request.peer.id.text() }, { "problem", problem.what() } });
        recordFailure(request, "unreadable", now);
    }
}

void fleet_sync::applyReply(const pending_request& request, const fleet_sync_reply& reply, time_point now)
{
    // Crashes do not become wrong with the age of the rest.
    mergeCrashes(reply.crashes);
    crash_exchange& crashes = m_crashExchanges[request.peer.id];
    // A peer that has started anew knows only what this request told it.
    const bool isSameProcess = crashes.knownHere.table == reply.crashes.state.table;
    crashes.knownByPeer = isSameProcess ? reply.knownCrashes : crash_state {};
    crashes.knownHere = reply.crashes.state;
    const std::vector<shared_topic*> topics = m_store.topics();
    if (reply.changes.size() != topics.size() || reply.changes.front().age > m_limits.maximumPeerAge) {
        m_staleReplyAt = now;
        recordFailure(request, "view too old", now);
        m_penalties[request.peer.id] = { now + staleReplyPenalty, 0 };
        return;
    }
    for (size_t i = 0; i < topics.size(); ++i)
        topics[i]->apply(reply.changes[i], request.sentAt);
    readOmitted(reply, now);
    for (const rate_limit_notice& notice : reply.rateLimits)
        m_rateLimits.merge(notice, request.sentAt);
    for (const warm_up_notice& notice : reply.warmUps)
        m_rateLimits.warmUps().merge(notice, request.sentAt);
    if (request.isMember) {
        for (const rollout_report& total : reply.totals)
            m_rollouts.receiveTotalReport(total, now);
        applyWork(reply.work, request.work);
    }
    std::erase_if(m_pending, [&](const pending_request& item) { return item.number == request.number; });
    m_penalties.erase(request.peer.id);
    m_consecutiveFailures = 0;
    scheduleRequest(request, reply, now);
    if (!request.isMember)
        return;
    // A daemon that was queried only because the store is unreachable does not become the upstream.
    const auto preferred = choosePredecessor(now);
    const bool isUpstream = preferred && preferred->id == request.peer.id;
    if (!isUpstream)
        m_fallbackSyncAt = now;
    setUpstream(isUpstream ? request.peer.id : instance_id());
}

// Queries another daemon at once when this one turns out to have lost the store.
void fleet_sync::scheduleRequest(const pending_request& request, const fleet_sync_reply& reply, time_point now)
{
    const bool isPartial = std::any_of(
        reply.changes.begin(), reply.changes.end(), [](const topic_change& change) { return change.isPartial; });
    m_nextRequest = isPartial ? now : request.sentAt + requestInterval;
    if (isPartial)
        m_nextComparison = now;
    if (!reply.hasLostStore) {
        m_storeLosses.erase(request.peer.id);
        return;
    }
    time_point& reportedAt = m_storeLosses[request.peer.id];
    const bool isNews = reportedAt == time_point {} || now - reportedAt >= storeLossNewsInterval;
    reportedAt = now;
    if (isNews) {
        m_log.write(log_level::Info, "view_peer_without_store", { { "peer", request.peer.id.text() } });
        m_nextRequest = now;
        m_nextComparison = now;
        return;
    }
    // Nothing newer can be expected soon while all daemons that may read the store have lost it.
    if (!m_isLeader && !isPartial)
        m_nextRequest = request.sentAt + requestInterval * 2;
}

void fleet_sync::recordFailure(const pending_request& request, const char* reason, time_point now)
{
    std::erase_if(m_pending, [&](const pending_request& item) { return item.number == request.number; });
    penalty& entry = m_penalties[request.peer.id];
    entry.until = now + initialPenalty * (1 << std::min(entry.failures, maximumDoublings));
    ++entry.failures;
    // The candidates of the failure domain are tried without a pause; the whole fleet, during an outage of the store,
    // is not.
    m_nextRequest = ++m_consecutiveFailures <= maximumImmediateRequests ? now : now + requestInterval;
    m_log.write(log_level::Info, "view_peer_failed", { { "peer", request.peer.id.text() }, { "reason", reason } });
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

crash_changes fleet_sync::crashesFor(const crash_state& known, crash_table::reporters from) const
{
    const uint64_t change = known.table == m_process ? known.change : 0;
    crash_changes changes = m_crashTable.unstoredSince(change, from, maximumCrashReports);
    changes.state.table = m_process;
    return changes;
}

void fleet_sync::mergeCrashes(const crash_changes& changes)
{
    for (const crash_report& report : changes.reports)
        m_crashTable.merge(report, false);
}

void fleet_sync::updateWork(time_point now)
{
    if (now < m_nextWorkUpdate)
        return;
    m_nextWorkUpdate = now + requestInterval;
    const std::vector<server_work> own = ownWork();
    m_groupWork.report(m_self.id, own, now);
    m_groupWork.removeSilent(now);
    if (m_upstream.empty())
        applyWork(m_groupWork.changeSince(m_work.state()), own);
}

void fleet_sync::applyWork(const work_change& change, const std::vector<server_work>& own)
{
    m_work.apply(change);
    m_servers.clearPeerLoads();
    for (const server_work& item : m_work.excluding(own))
        m_servers.addPeerLoad(item.server, item.requests, item.unreadTokens);
}

std::string fleet_sync::handleRequest(const std::string& bytes)
{
    const time_point now = m_time.now();
    lap_timer lap(m_time);
    ++m_load.requests;
    m_load.requestBytes += bytes.size();
    try {
        const fleet_sync_request request = decodeFleetSyncRequest(bytes);
        lap.addTo(m_load.coding);
        const std::vector<shared_topic*> topics = m_store.topics();
        if (request.topics.size() != topics.size())
            return {};
        fleet_sync_reply reply;
        reply.hasLostStore = hasLostStore(now);
        for (size_t i = 0; i < topics.size(); ++i) {
            const auto limits = request.acceptsLarge
                ? shared_topic::change_limits {}
                : shared_topic::change_limits { maximumChangeBytes, maximumPartBytes };
            auto change = topics[i]->changeSince(request.topics[i], now, limits);
            if (!change)
                return {};
            reply.changes.push_back(std::move(*change));
        }
        lap.addTo(m_load.changes);
        for (const rollout_report& report : request.reports)
            m_rollouts.receiveMemberReport(report, request.sender, now);
        mergeCrashes(request.crashes);
        reply.knownCrashes = request.crashes.state;
        for (const rate_limit_notice& notice : request.rateLimits)
            m_rateLimits.merge(notice, now);
        for (const warm_up_notice& notice : request.warmUps)
            m_rateLimits.warmUps().merge(notice, now);
        if (request.isMember) {
            m_groupWork.report(request.sender, request.work, now);
            reply.totals = m_rollouts.totalReports(now);
            lap.addTo(m_load.totals);
            reply.work = m_groupWork.changeSince(request.knownWork);
            lap.addTo(m_load.work);
        }
        reply.crashes = crashesFor(request.knownCrashes, crash_table::reporters::All);
        reply.rateLimits = m_rateLimits.notices(now);
        reply.warmUps = m_rateLimits.warmUps().notices(now);
        std::string encoded = encodeFleetSyncReply(reply);
        lap.addTo(m_load.coding);
        m_load.replyBytes += encoded.size();
        return encoded;
    } catch (const fleet_sync_error& problem) {
        m_log.write(log_level::Warning, "view_request_unreadable", { { "problem", problem.what() } });
        return {};
    }
}

} // namespace pollen
