#include <control/bill_ledger.h>

#include <algorithm>
#include <config/configuration_record.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration minimumFlushInterval = std::chrono::milliseconds(250);
// Limits all daemons together to 100 bill appends per second: each one waits this time multiplied by their number.
constexpr duration flushIntervalPerDaemon = std::chrono::milliseconds(10);
constexpr duration copyTimeout = std::chrono::milliseconds(10);
constexpr duration initialRetryDelay = std::chrono::milliseconds(250);
constexpr duration maximumRetryDelay = std::chrono::seconds(4);
constexpr size_t maximumCopyAttempts = 3;
constexpr size_t maximumBatchRecords = 256;
constexpr size_t maximumOutboxBills = 40000;
constexpr size_t maximumHeldBills = 40000;

} // namespace

std::string encodeBill(const bill& bill)
{
    const nlohmann::json json { { "id", bill.id }, { "request", bill.request.text() }, { "team", bill.team.text() },
        { "class", bill.requestClass.text() }, { "target", bill.target }, { "prompt_tokens", bill.promptTokens },
        { "output_tokens", bill.outputTokens }, { "cost", bill.cost }, { "time_ms", bill.timeMilliseconds } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bill decodeBill(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        bill bill;
        bill.id = json.at("id").get<std::string>();
        bill.request = request_id(json.at("request").get<std::string>());
        bill.team = team_name(json.at("team").get<std::string>());
        bill.requestClass = class_name(json.at("class").get<std::string>());
        bill.target = json.at("target").get<std::string>();
        bill.promptTokens = json.at("prompt_tokens").get<uint64_t>();
        bill.outputTokens = json.at("output_tokens").get<uint64_t>();
        bill.cost = json.at("cost").get<double>();
        bill.timeMilliseconds = json.at("time_ms").get<int64_t>();
        return bill;
    } catch (const nlohmann::json::exception& problem) {
        throw record_error(problem.what());
    }
}

bill_ledger::bill_ledger(event_loop& loop, peer_node& node, peer_table& peers, record_log& log, random_source& random,
    const clock& clock, logger& logger)
    : m_node(node)
    , m_peers(peers)
    , m_log(log)
    , m_clock(clock)
    , m_logger(logger)
    , m_copyTimer(loop, [this] { retryCopies(); })
    , m_backoff(initialRetryDelay, maximumRetryDelay, random)
    , m_alive(std::make_shared<bool>(true))
{
    m_node.setBillHandler(this);
}

bill_ledger::~bill_ledger() { m_node.setBillHandler(nullptr); }

bool bill_ledger::isFull() const { return m_outbox.size() >= maximumOutboxBills; }

void bill_ledger::record(const bill& bill, std::function<void()> onReplicationDone)
{
    m_outbox.emplace(bill.id, outgoing_bill { bill, encodeBill(bill), {} });
    pending_copy pending { std::move(onReplicationDone), {}, 0 };
    sendCopy(bill.id, pending);
    if (!pending.onReplicationDone)
        return;
    if (m_pendingCopies.empty())
        m_copyTimer.startOnce(copyTimeout);
    m_pendingCopies.insert_or_assign(bill.id, std::move(pending));
}

// Sends a copy of the bill to the next peer that can hold it. If there is none, or after the last attempt, calls and
// clears the callback, and counts the bill as unreplicated if it is not in the log yet.
void bill_ledger::sendCopy(const std::string& billId, pending_copy& pending)
{
    const time_point now = m_clock.now();
    const auto outgoing = m_outbox.find(billId);
    const auto holders = m_peers.replicaCandidates(m_node.self().failureDomain, now);
    if (outgoing == m_outbox.end() || holders.empty() || pending.attempts >= maximumCopyAttempts) {
        if (outgoing != m_outbox.end())
            ++m_unreplicatedBills;
        std::exchange(pending.onReplicationDone, nullptr)();
        return;
    }
    const listed_peer& holder = holders[pending.attempts % holders.size()];
    outgoing->second.holder = holder.id;
    pending.nextAttempt = now + copyTimeout;
    ++pending.attempts;
    m_node.send(holder.address, bill_copy_message { outgoing->second.content });
}

void bill_ledger::retryCopies()
{
    const time_point now = m_clock.now();
    std::vector<std::string> due;
    for (const auto& [id, pending] : m_pendingCopies) {
        if (pending.nextAttempt <= now)
            due.push_back(id);
    }
    for (const std::string& id : due) {
        const auto found = m_pendingCopies.find(id);
        if (found == m_pendingCopies.end())
            continue;
        pending_copy pending = std::move(found->second);
        m_pendingCopies.erase(found);
        sendCopy(id, pending);
        if (pending.onReplicationDone)
            m_pendingCopies.insert_or_assign(id, std::move(pending));
    }
    if (!m_pendingCopies.empty())
        m_copyTimer.startOnce(copyTimeout / 2);
}

void bill_ledger::onBillCopyAck(const std::string& billId)
{
    const auto found = m_pendingCopies.find(billId);
    if (found == m_pendingCopies.end())
        return;
    const auto onReplicationDone = std::move(found->second.onReplicationDone);
    m_pendingCopies.erase(found);
    onReplicationDone();
}

void bill_ledger::onBillCopy(const instance_id& from, uint64_t incarnation, const endpoint& address, const bill& copy)
{
    if (m_held.size() >= maximumHeldBills)
        return;
    m_held.insert_or_assign(copy.id, held_bill { copy, from, incarnation });
    m_node.send(address, bill_copy_ack_message { copy.id });
}

void bill_ledger::onBillsSettled(const std::vector<std::string>& billIds)
{
    for (const std::string& id : billIds)
        m_held.erase(id);
}

void bill_ledger::tick(time_point now)
{
    adoptFromCrashedPeers(now);
    if (!m_appending && now >= m_nextFlush)
        flush();
}

void bill_ledger::adoptFromCrashedPeers(time_point now)
{
    for (auto entry = m_held.begin(); entry != m_held.end();) {
        if (m_peers.isAlive(entry->second.origin, entry->second.incarnation, now)) {
            ++entry;
            continue;
        }
        m_logger.write(log_level::Warning, "bill_adopted",
            { { "bill", entry->first }, { "origin", entry->second.origin.text() } });
        const bill& content = entry->second.content;
        m_outbox.emplace(entry->first, outgoing_bill { content, encodeBill(content), {} });
        entry = m_held.erase(entry);
    }
}

void bill_ledger::flush()
{
    const auto daemons = static_cast<int64_t>(m_peers.rows().size()) + 1;
    m_nextFlush = m_clock.now() + std::max(minimumFlushInterval, flushIntervalPerDaemon * daemons);
    std::vector<std::string> ids;
    std::vector<std::string> records;
    for (const auto& [id, outgoing] : m_outbox) {
        if (ids.size() == maximumBatchRecords)
            break;
        ids.push_back(id);
        records.push_back(outgoing.encoded);
    }
    if (ids.empty())
        return;
    m_appending = true;
    const auto onResult = [this, ids = std::move(ids), alive = std::weak_ptr<bool>(m_alive)](const auto& result) {
        if (!alive.expired())
            onAppended(ids, result);
    };
    m_log.append(billStream, std::move(records), onResult);
}

void bill_ledger::onAppended(const std::vector<std::string>& billIds, const append_result& result)
{
    m_appending = false;
    if (result.outcome != append_outcome::Appended) {
        const duration delay = m_backoff.next();
        m_nextFlush = m_clock.now() + delay;
        m_logger.write(log_level::Warning, "bills_not_appended",
            { { "waiting", static_cast<int64_t>(m_outbox.size()) }, { "retry_ms", toMilliseconds(delay) } });
        return;
    }
    m_backoff.reset();
    completeBills(billIds);
    if (m_outbox.size() >= maximumBatchRecords)
        flush();
}

void bill_ledger::completeBills(const std::vector<std::string>& billIds)
{
    std::map<instance_id, std::vector<std::string>> byHolder;
    for (const std::string& id : billIds) {
        const auto found = m_outbox.find(id);
        if (found == m_outbox.end())
            continue;
        if (!found->second.holder.empty())
            byHolder[found->second.holder].push_back(id);
        m_outbox.erase(found);
    }
    for (auto& [holder, ids] : byHolder) {
        const auto address = m_peers.addressOf(holder);
        if (!address)
            continue;
        for (size_t i = 0; i < ids.size(); i += maximumSettledIds) {
            const size_t end = std::min(ids.size(), i + maximumSettledIds);
            m_node.send(*address,
                bills_settled_message {
                    { ids.begin() + static_cast<std::ptrdiff_t>(i), ids.begin() + static_cast<std::ptrdiff_t>(end) } });
        }
    }
}

} // namespace pollen
