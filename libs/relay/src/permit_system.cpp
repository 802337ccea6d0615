#include <relay/permit_system.h>

#include <algorithm>
#include <utility>

namespace pollen {

namespace {

// How long a request waits for a permit before it goes to another server.
constexpr duration permitTimeout = std::chrono::milliseconds(100);
// A daemon that does not answer for this long is replaced as allocator, and checked again after the interval.
constexpr duration replyTimeout = std::chrono::milliseconds(250);
constexpr duration checkInterval = std::chrono::seconds(1);
constexpr duration updateInterval = std::chrono::milliseconds(250);
// A permit that was on the way for longer is not used.
constexpr duration permitLifetime = std::chrono::milliseconds(250);
// A daemon that did not run for longer has been replaced as allocator by another one.
constexpr duration maximumPause = std::chrono::milliseconds(500);
// A declaration counts for two intervals, so that a delayed one leaves no gap.
constexpr duration memberLifetime = 2 * checkInterval;
// A daemon that has been silent for so long has ended, or is cut off and not counted on.
constexpr duration maximumSilence = std::chrono::seconds(10);
// The daemon asked was not the allocator; the roles are settled by then.
constexpr duration unsettledWait = std::chrono::milliseconds(200);
constexpr duration maximumReportedWait = std::chrono::seconds(1);
// The own failure domain and another one.
constexpr size_t maximumAskedDomains = 2;

} // namespace

permit_system::permit_system(identity self, fleet_store& store, server_rate_limits& limits, state_exchange& exchange,
    const clock& time, logger& log)
    : m_self(std::move(self))
    , m_store(store)
    , m_limits(limits)
    , m_exchange(exchange)
    , m_time(time)
    , m_log(log)
    , m_allocator(m_self.failureDomain, limits)
    , m_alive(std::make_shared<bool>(true))
{
    m_exchange.setSource([this](const std::string& bytes) { return handleRequest(bytes); });
}

void permit_system::tick(time_point now)
{
    recordActivity(now);
    removeOverdue(now);
    // Without limits nothing is asked for, and large fleets save the processor time.
    if (m_limits.empty()) {
        // Permits must not accumulate until the next limit.
        m_allocator.clear();
        m_deniedUntil.clear();
        return;
    }
    if (now < m_nextUpdate)
        return;
    m_nextUpdate = now + updateInterval;
    updateDaemons();
    m_allocator.removeUnlimited();
    std::erase_if(m_deniedUntil, [&](const auto& denial) { return denial.second <= now; });
    if (!isAllocator())
        m_allocator.clear();
    updatePart(now);
    checkDaemons(now);
}

void permit_system::recordActivity(time_point now)
{
    if (now - std::exchange(m_lastActive, now) <= maximumPause)
        return;
    // Another daemon may have allocated in the place of this one, and the replies have been waiting here.
    m_allocator.clear();
    m_sent.clear();
}

bool permit_system::isAllocator() const
{
    const auto allocator = allocatorOf(m_self.failureDomain);
    return allocator && allocator->id == m_self.id;
}

void permit_system::updateDaemons()
{
    m_daemons.clear();
    // This daemon may not have announced itself yet.
    m_daemons[m_self.failureDomain] = { { m_self.id, m_self.failureDomain, {} } };
    for (const listed_peer& daemon : m_store.daemons()) {
        if (daemon.id != m_self.id)
            m_daemons[daemon.failureDomain].push_back(daemon);
    }
    std::vector<failure_domain_name> domains;
    for (auto& [domain, daemons] : m_daemons) {
        domains.push_back(domain);
        std::sort(daemons.begin(), daemons.end(),
            [](const listed_peer& left, const listed_peer& right) { return left.id < right.id; });
    }
    m_allocator.setDomains(std::move(domains));
}

void permit_system::checkDaemons(time_point now)
{
    std::set<instance_id> listed;
    for (const auto& [domain, daemons] : m_daemons) {
        for (const listed_peer& daemon : daemons) {
            listed.insert(daemon.id);
            const auto unavailable = m_unavailable.find(daemon.id);
            if (unavailable == m_unavailable.end() || now < unavailable->second.nextCheck)
                continue;
            unavailable->second.nextCheck = now + checkInterval;
            send(daemon, {}, std::nullopt, now);
        }
    }
    std::erase_if(m_unavailable, [&](const auto& item) { return !listed.contains(item.first); });
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + checkInterval;
    const bool allocates = isAllocator();
    const auto allocator = allocatorOf(m_self.failureDomain);
    for (const listed_peer& daemon : m_daemons[m_self.failureDomain]) {
        if (daemon.id == m_self.id || m_unavailable.contains(daemon.id))
            continue;
        const bool isUnheard = allocates && !m_members.contains(daemon.id);
        if (isUnheard || (allocator && allocator->id == daemon.id))
            send(daemon, {}, std::nullopt, now);
    }
}

size_t permit_system::countOthers(duration maximumSilence, time_point now) const
{
    const std::vector<listed_peer>& daemons = m_daemons.at(m_self.failureDomain);
    return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const listed_peer& daemon) {
        const auto unavailable = m_unavailable.find(daemon.id);
        const bool isGone = unavailable != m_unavailable.end()
            && (unavailable->second.refused || now - unavailable->second.since > maximumSilence);
        return daemon.id != m_self.id && !m_members.contains(daemon.id) && !isGone;
    }));
}

void permit_system::updatePart(time_point now)
{
    std::erase_if(m_members, [&](const auto& member) { return now - member.second > memberLifetime; });
    const auto own = static_cast<double>(m_members.size() + 1);
    const auto partBeside = [&](size_t others) { return own / (own + static_cast<double>(others)); };
    // A cold server falls over if both sides of a long partition send it the share of the whole domain.
    // Until the list of daemons has been read, there may be any number of others.
    const double strictPart = m_store.daemonsKnown() ? partBeside(countOthers(duration::max(), now)) : 0;
    m_allocator.setPart(partBeside(countOthers(maximumSilence, now)), strictPart);
}

void permit_system::removeOverdue(time_point now)
{
    std::vector<listed_peer> silent;
    std::erase_if(m_sent, [&](const auto& item) {
        const bool overdue = now - item.second.sentAt > replyTimeout;
        if (overdue)
            silent.push_back(item.second.peer);
        return overdue;
    });
    for (const listed_peer& peer : silent)
        markUnavailable(peer, false, now);
    std::vector<uint64_t> late;
    for (const auto& [number, waiting] : m_waiting) {
        if (now - waiting.startedAt > permitTimeout)
            late.push_back(number);
    }
    for (const uint64_t number : late)
        finish(number, { std::nullopt, unsettledWait });
}

void permit_system::request(const std::vector<instance_id>& servers, permit_callback callback)
{
    const time_point now = m_time.now();
    recordActivity(now);
    if (m_daemons.empty())
        updateDaemons();
    const uint64_t number = ++m_lastNumber;
    m_waiting.emplace(number, waiting_request { servers, std::move(callback), now, {}, duration::max() });
    askNext(number, now);
}

void permit_system::askNext(uint64_t number, time_point now)
{
    waiting_request& waiting = m_waiting.at(number);
    for (const failure_domain_name& domain : domainsToAsk(waiting)) {
        if (waiting.askedDomains.size() >= maximumAskedDomains || now - waiting.startedAt > permitTimeout)
            break;
        const std::vector<instance_id> servers = undenied(domain, waiting.servers, now);
        const auto allocator = allocatorOf(domain);
        if (servers.empty() || !allocator)
            continue;
        waiting.askedDomains.insert(domain);
        if (allocator->id == m_self.id)
            onDecision(number, domain, servers, m_allocator.take(servers, now), now);
        else
            send(*allocator, servers, number, now);
        return;
    }
    for (const auto& [key, until] : m_deniedUntil) {
        if (std::find(waiting.servers.begin(), waiting.servers.end(), key.second) != waiting.servers.end())
            waiting.shortestWait = std::min(waiting.shortestWait, std::max(until - now, duration(0)));
    }
    finish(number, { std::nullopt, std::min(waiting.shortestWait, maximumReportedWait) });
}

std::vector<failure_domain_name> permit_system::domainsToAsk(const waiting_request& waiting)
{
    std::vector<failure_domain_name> domains;
    for (const auto& [domain, daemons] : m_daemons) {
        if (domain != m_self.failureDomain && !waiting.askedDomains.contains(domain))
            domains.push_back(domain);
    }
    if (!domains.empty())
        std::rotate(
            domains.begin(), domains.begin() + static_cast<ptrdiff_t>(++m_rotation % domains.size()), domains.end());
    if (!waiting.askedDomains.contains(m_self.failureDomain))
        domains.insert(domains.begin(), m_self.failureDomain);
    return domains;
}

std::vector<instance_id> permit_system::undenied(
    const failure_domain_name& domain, const std::vector<instance_id>& servers, time_point now) const
{
    std::vector<instance_id> result;
    for (const instance_id& server : servers) {
        const auto denial = m_deniedUntil.find({ domain, server });
        if (denial == m_deniedUntil.end() || denial->second <= now)
            result.push_back(server);
    }
    return result;
}

std::optional<listed_peer> permit_system::allocatorOf(const failure_domain_name& domain) const
{
    const auto daemons = m_daemons.find(domain);
    if (daemons == m_daemons.end())
        return std::nullopt;
    for (const listed_peer& daemon : daemons->second) {
        if (!m_unavailable.contains(daemon.id))
            return daemon;
    }
    return std::nullopt;
}

bool permit_system::isAsked(const instance_id& peer) const
{
    return std::any_of(m_sent.begin(), m_sent.end(), [&](const auto& item) { return item.second.peer.id == peer; });
}

void permit_system::send(
    const listed_peer& peer, const std::vector<instance_id>& servers, std::optional<uint64_t> request, time_point now)
{
    const auto allocator = allocatorOf(m_self.failureDomain);
    permit_request message { m_self.id, allocator && allocator->id == peer.id, servers, {},
        m_limits.warmUps().noticesOf(servers, now) };
    for (const rate_limit_notice& notice : m_limits.notices(now)) {
        if (std::find(servers.begin(), servers.end(), notice.server) != servers.end())
            message.rateLimits.push_back(notice);
    }
    const uint64_t number = ++m_lastNumber;
    m_sent.emplace(number, sent_message { peer, now, servers, request });
    m_exchange.fetch(peer.address, encodePermitRequest(message),
        [this, number, alive = std::weak_ptr<bool>(m_alive)](const std::optional<std::string>& bytes) {
            if (!alive.expired())
                onReply(number, bytes);
        });
}

void permit_system::onReply(uint64_t message, const std::optional<std::string>& bytes)
{
    const time_point now = m_time.now();
    recordActivity(now);
    const auto found = m_sent.find(message);
    if (found == m_sent.end())
        return;
    const sent_message sent = found->second;
    m_sent.erase(found);
    const bool isWaiting = sent.request && m_waiting.contains(*sent.request);
    std::optional<permit_reply> reply;
    try {
        if (bytes)
            reply = decodePermitReply(*bytes);
    } catch (const permit_message_error& problem) {
        m_log.write(log_level::Warning, "permit_reply_unreadable",
            { { "peer", sent.peer.id.text() }, { "problem", problem.what() } });
    }
    if (!reply) {
        markUnavailable(sent.peer, true, now);
        if (!isWaiting)
            return;
        // Another daemon of the domain takes its place.
        m_waiting.at(*sent.request).askedDomains.erase(sent.peer.failureDomain);
        askNext(*sent.request, now);
        return;
    }
    m_unavailable.erase(sent.peer.id);
    if (!isWaiting)
        return;
    permit_decision decision = reply->decision;
    if (!reply->isAllocator || now - sent.sentAt > permitLifetime)
        decision = { std::nullopt, unsettledWait };
    onDecision(*sent.request, sent.peer.failureDomain, sent.servers, decision, now);
}

void permit_system::onDecision(uint64_t number, const failure_domain_name& domain,
    const std::vector<instance_id>& servers, const permit_decision& decision, time_point now)
{
    if (decision.server) {
        finish(number, decision);
        return;
    }
    waiting_request& waiting = m_waiting.at(number);
    waiting.shortestWait = std::min(waiting.shortestWait, decision.wait);
    for (const instance_id& server : servers)
        m_deniedUntil[{ domain, server }] = now + decision.wait;
    askNext(number, now);
}

void permit_system::finish(uint64_t number, const permit_decision& decision)
{
    const permit_callback callback = std::move(m_waiting.at(number).callback);
    m_waiting.erase(number);
    callback(decision);
}

void permit_system::markUnavailable(const listed_peer& peer, bool refused, time_point now)
{
    const auto [known, isNew]
        = m_unavailable.try_emplace(peer.id, unavailability { now, now + checkInterval, refused });
    known->second.refused = refused;
    if (isNew)
        m_log.write(log_level::Info, "permit_daemon_unavailable",
            { { "peer", peer.id.text() }, { "failure_domain", peer.failureDomain.text() },
                { "reason", refused ? "no answer" : "silent" } });
}

std::string permit_system::handleRequest(const std::string& bytes)
{
    const time_point now = m_time.now();
    recordActivity(now);
    try {
        const permit_request request = decodePermitRequest(bytes);
        for (const rate_limit_notice& notice : request.rateLimits)
            m_limits.merge(notice, now);
        for (const warm_up_notice& notice : request.warmUps)
            m_limits.warmUps().merge(notice, now);
        if (m_daemons.empty())
            updateDaemons();
        if (request.isMember && m_members.insert_or_assign(request.sender, now).second)
            updatePart(now);
        permit_reply reply;
        const auto allocator = allocatorOf(m_self.failureDomain);
        reply.isAllocator = isAllocator();
        if (reply.isAllocator && !request.servers.empty())
            reply.decision = m_allocator.take(request.servers, now);
        // The sender may have found that the allocator does not answer.
        else if (allocator && !reply.isAllocator && !isAsked(allocator->id))
            send(*allocator, {}, std::nullopt, now);
        return encodePermitReply(reply);
    } catch (const permit_message_error& problem) {
        m_log.write(log_level::Warning, "permit_request_unreadable", { { "problem", problem.what() } });
        return {};
    }
}

} // namespace pollen
