#include <control/claim_ledger.h>

#include <config/configuration_record.h>

namespace pollen {

namespace {

constexpr int64_t keyLifetimeMilliseconds = 60LL * 60 * 1000;
constexpr size_t maximumKeys = 100000;
constexpr size_t maximumRecordedBodyBytes = 16U << 10;
constexpr size_t maximumBatchRecords = 128;
constexpr size_t maximumQueuedRecords = 10000;
constexpr size_t maximumAbandonedClaims = 10000;
constexpr duration minimumAppendInterval = std::chrono::milliseconds(20);
// Limits the wait for a claim to be read back from the log, or for the answer of another owner.
constexpr duration claimTimeout = std::chrono::seconds(2);
constexpr duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr duration maximumRetryDelay = std::chrono::seconds(2);

} // namespace

const char* toText(claim_outcome outcome)
{
    switch (outcome) {
    case claim_outcome::Granted:
        return "granted";
    case claim_outcome::Answered:
        return "answered";
    case claim_outcome::OwnedElsewhere:
        return "owned_elsewhere";
    case claim_outcome::KeyReused:
        return "key_reused";
    case claim_outcome::Unavailable:
        return "unavailable";
    }
    return "unavailable";
}

claim_ledger::claim_ledger(event_loop& loop, record_log& log, peer_node& node, peer_table& peers, random_source& random,
    const clock& clock, logger& logger)
    : m_log(log)
    , m_node(node)
    , m_peers(peers)
    , m_clock(clock)
    , m_logger(logger)
    , m_reducer(keyLifetimeMilliseconds)
    , m_follower(loop, log, claimStream, random, clock,
          { [this](const log_record& record) { onRecord(record); }, [](log_offset) {} })
    , m_flushTimer(loop, [this] { flush(); })
    , m_backoff(initialRetryDelay, maximumRetryDelay, random)
    , m_alive(std::make_shared<bool>(true))
{
}

void claim_ledger::claim(
    const std::string& key, const std::string& fingerprint, const request_id& request, callback callback)
{
    const time_point now = m_clock.now();
    waiter candidate { key, fingerprint, request, std::move(callback), now + claimTimeout, false };
    if (m_reducer.find(key) && resolve(candidate, now))
        return;
    const bool isOwnedElsewhere = candidate.ownedElsewhere;
    if (!isOwnedElsewhere && (m_reducer.size() >= maximumKeys || m_queue.size() >= maximumQueuedRecords)) {
        candidate.done(claim_outcome::Unavailable, nullptr);
        return;
    }
    m_waiters.emplace(request, std::move(candidate));
    if (isOwnedElsewhere)
        return;
    claim_record record = makeRecord(claim_record_kind::Claim, key, request);
    record.fingerprint = fingerprint;
    enqueue(std::move(record));
}

void claim_ledger::cancel(const request_id& request)
{
    const auto found = m_waiters.find(request);
    if (found == m_waiters.end())
        return;
    // Above the limit a late claim is not released and blocks its key until the key expires, which is safe.
    if (!found->second.ownedElsewhere && m_abandoned.size() < maximumAbandonedClaims)
        m_abandoned.insert(request);
    m_waiters.erase(found);
}

void claim_ledger::recordAnswer(const std::string& key, const request_id& request, recorded_answer answer)
{
    claim_record record = makeRecord(claim_record_kind::Result, key, request);
    if (answer.body.size() > maximumRecordedBodyBytes) {
        answer.body.clear();
        answer.bodyKept = false;
    }
    record.answer = std::move(answer);
    enqueue(std::move(record));
}

void claim_ledger::release(const std::string& key, const request_id& request)
{
    enqueue(makeRecord(claim_record_kind::Release, key, request));
}

claim_record claim_ledger::makeRecord(claim_record_kind kind, const std::string& key, const request_id& request) const
{
    return { kind, key, request, m_node.self().id, m_node.self().incarnation, "", {} };
}

void claim_ledger::onRecord(const log_record& record)
{
    claim_record decoded;
    try {
        decoded = decodeClaim(record.value);
    } catch (const record_error& problem) {
        m_logger.write(
            log_level::Warning, "claim_undecodable", { { "offset", record.offset }, { "detail", problem.what() } });
        return;
    }
    m_reducer.apply(decoded, record.timeMilliseconds);
    if (decoded.kind == claim_record_kind::Claim && m_abandoned.erase(decoded.request) > 0)
        release(decoded.key, decoded.request);
    resolveWaiters(decoded.key);
}

void claim_ledger::resolveWaiters(const std::string& key)
{
    const time_point now = m_clock.now();
    std::vector<waiter> affected;
    for (auto entry = m_waiters.begin(); entry != m_waiters.end();) {
        if (entry->second.key != key) {
            ++entry;
            continue;
        }
        affected.push_back(std::move(entry->second));
        entry = m_waiters.erase(entry);
    }
    for (waiter& waiter : affected) {
        if (!resolve(waiter, now))
            m_waiters.emplace(waiter.request, std::move(waiter));
    }
}

bool claim_ledger::resolve(waiter& waiter, time_point now)
{
    const claim_entry* entry = m_reducer.find(waiter.key);
    if (!entry) {
        // The owner released the key. A request whose own claim is still being appended keeps waiting for it.
        if (waiter.ownedElsewhere)
            waiter.done(claim_outcome::Unavailable, nullptr);
        return waiter.ownedElsewhere;
    }
    if (entry->owner == waiter.request) {
        waiter.done(claim_outcome::Granted, nullptr);
        return true;
    }
    if (entry->fingerprint != waiter.fingerprint) {
        waiter.done(claim_outcome::KeyReused, nullptr);
        return true;
    }
    if (entry->answer) {
        const recorded_answer answer = *entry->answer;
        waiter.done(claim_outcome::Answered, &answer);
        return true;
    }
    if (!isOwnerAlive(*entry, now)) {
        waiter.done(claim_outcome::OwnedElsewhere, nullptr);
        return true;
    }
    waiter.ownedElsewhere = true;
    return false;
}

bool claim_ledger::isOwnerAlive(const claim_entry& entry, time_point now) const
{
    if (entry.daemon == m_node.self().id)
        return entry.incarnation == m_node.self().incarnation;
    return m_peers.isAlive(entry.daemon, entry.incarnation, now);
}

void claim_ledger::tick(time_point now)
{
    std::vector<request_id> expired;
    for (const auto& [request, waiter] : m_waiters) {
        if (waiter.deadline <= now)
            expired.push_back(request);
    }
    for (const request_id& request : expired) {
        const bool isOwnedElsewhere = m_waiters.at(request).ownedElsewhere;
        finish(request, isOwnedElsewhere ? claim_outcome::OwnedElsewhere : claim_outcome::Unavailable);
    }
}

void claim_ledger::finish(const request_id& request, claim_outcome outcome)
{
    const auto found = m_waiters.find(request);
    if (found == m_waiters.end())
        return;
    const auto done = std::move(found->second.done);
    cancel(request);
    done(outcome, nullptr);
}

void claim_ledger::enqueue(claim_record record)
{
    m_queue.push_back(std::move(record));
    if (m_appending)
        return;
    const duration wait = std::max(duration(0), m_nextFlush - m_clock.now());
    if (wait.count() == 0)
        flush();
    else
        m_flushTimer.startOnce(wait);
}

void claim_ledger::flush()
{
    if (m_appending || m_queue.empty())
        return;
    std::vector<claim_record> batch;
    std::vector<std::string> texts;
    for (claim_record& record : m_queue) {
        if (batch.size() == maximumBatchRecords)
            break;
        texts.push_back(encodeClaim(record));
        batch.push_back(std::move(record));
    }
    m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(batch.size()));
    m_appending = true;
    m_nextFlush = m_clock.now() + minimumAppendInterval;
    const auto onResult = [this, batch = std::move(batch), alive = std::weak_ptr<bool>(m_alive)](const auto& result) {
        if (!alive.expired())
            onAppended(batch, result);
    };
    m_log.append(claimStream, std::move(texts), onResult);
}

void claim_ledger::onAppended(const std::vector<claim_record>& batch, const append_result& result)
{
    m_appending = false;
    duration wait = std::max(duration(0), m_nextFlush - m_clock.now());
    if (result.outcome == append_outcome::Appended)
        m_backoff.reset();
    else
        wait = m_backoff.next();
    for (const claim_record& record : batch) {
        if (result.outcome == append_outcome::Appended)
            continue;
        // Failed claims are not retried here; the caller decides. Results and releases are retried until appended,
        // since duplicates are harmless.
        if (record.kind != claim_record_kind::Claim)
            m_queue.push_back(record);
        else if (result.outcome == append_outcome::NotAppended) {
            finish(record.request, claim_outcome::Unavailable);
            m_abandoned.erase(record.request);
        }
    }
    if (!m_queue.empty())
        m_flushTimer.startOnce(wait);
}

} // namespace pollen
