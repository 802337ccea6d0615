#include <control/bill_ledger.h>

#include <algorithm>
#include <config/configuration_record.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration shortestFlushInterval = std::chrono::milliseconds(250);
// Share of the log's appends that all daemons together take for bills: 100 a second.
constexpr duration flushIntervalPerDaemon = std::chrono::milliseconds(10);
constexpr duration copyTimeout = std::chrono::milliseconds(10);
constexpr duration firstRetry = std::chrono::milliseconds(250);
constexpr duration longestRetry = std::chrono::seconds(4);
constexpr size_t maximumCopyTries = 3;
constexpr size_t maximumBatch = 256;
constexpr size_t maximumOutbox = 40000;
constexpr size_t maximumHeld = 40000;

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
    , m_backoff(firstRetry, longestRetry, random)
    , m_alive(std::make_shared<bool>(true))
{
    m_node.setBillHandler(this);
}

bill_ledger::~bill_ledger() { m_node.setBillHandler(nullptr); }

bool bill_ledger::full() const { return m_outbox.size() >= maximumOutbox; }

void bill_ledger::record(const bill& bill, std::function<void()> whenSafe)
{
    m_outbox.emplace(bill.id, outgoing_bill { bill, encodeBill(bill), {} });
    awaited_copy awaited { std::move(whenSafe), {}, 0 };
    askHolder(bill.id, awaited);
    if (!awaited.whenSafe)
        return;
    if (m_awaited.empty())
        m_copyTimer.startOnce(copyTimeout);
    m_awaited.insert_or_assign(bill.id, std::move(awaited));
}

// Sends the bill to the next peer that can hold it. Without one, or after the last try, the bill is as safe as it can
// be made: the callback is called and cleared.
void bill_ledger::askHolder(const std::string& billId, awaited_copy& awaited)
{
    const time_point now = m_clock.now();
    const auto outgoing = m_outbox.find(billId);
    const auto holders = m_peers.replicaCandidates(m_node.self().failureDomain, now);
    if (outgoing == m_outbox.end() || holders.empty() || awaited.tries >= maximumCopyTries) {
        if (outgoing != m_outbox.end())
            ++m_unreplicated;
        std::exchange(awaited.whenSafe, nullptr)();
        return;
    }
    const listed_peer& holder = holders[awaited.tries % holders.size()];
    outgoing->second.holder = holder.id;
    awaited.nextTry = now + copyTimeout;
    ++awaited.tries;
    m_node.send(holder.address, bill_copy_message { outgoing->second.content });
}

void bill_ledger::retryCopies()
{
    const time_point now = m_clock.now();
    std::vector<std::string> due;
    for (const auto& [id, awaited] : m_awaited) {
        if (awaited.nextTry <= now)
            due.push_back(id);
    }
    for (const std::string& id : due) {
        const auto found = m_awaited.find(id);
        if (found == m_awaited.end())
            continue;
        awaited_copy awaited = std::move(found->second);
        m_awaited.erase(found);
        askHolder(id, awaited);
        if (awaited.whenSafe)
            m_awaited.insert_or_assign(id, std::move(awaited));
    }
    if (!m_awaited.empty())
        m_copyTimer.startOnce(copyTimeout / 2);
}

void bill_ledger::onBillCopyAck(const std::string& billId)
{
    const auto found = m_awaited.find(billId);
    if (found == m_awaited.end())
        return;
    const auto whenSafe = std::move(found->second.whenSafe);
    m_awaited.erase(found);
    whenSafe();
}

void bill_ledger::onBillCopy(const instance_id& from, uint64_t incarnation, const endpoint& address, const bill& copy)
{
    if (m_held.size() >= maximumHeld)
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
    adoptFromDead(now);
    if (!m_appending && now >= m_nextFlush)
        flush();
}

void bill_ledger::adoptFromDead(time_point now)
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
    m_nextFlush = m_clock.now() + std::max(shortestFlushInterval, flushIntervalPerDaemon * daemons);
    std::vector<std::string> ids;
    std::vector<std::string> records;
    for (const auto& [id, outgoing] : m_outbox) {
        if (ids.size() == maximumBatch)
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
    settle(billIds);
    if (m_outbox.size() >= maximumBatch)
        flush();
}

void bill_ledger::settle(const std::vector<std::string>& billIds)
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
