#include <platform/log_follower.h>

namespace pollen {

namespace {

constexpr duration longPoll = std::chrono::seconds(10);
constexpr duration firstRetry = std::chrono::milliseconds(50);
constexpr duration longestRetry = std::chrono::seconds(1);

} // namespace

log_follower::log_follower(event_loop& loop, record_log& log, std::string stream, random_source& random,
    const clock& clock, callbacks callbacks)
    : m_log(log)
    , m_stream(std::move(stream))
    , m_clock(clock)
    , m_callbacks(std::move(callbacks))
    , m_backoff(firstRetry, longestRetry, random)
    , m_retry(loop, [this] { readNext(); })
    , m_alive(std::make_shared<bool>(true))
{
}

void log_follower::start() { readNext(); }

void log_follower::readNext()
{
    // The first reads do not wait, so that the end of the stream is known at once.
    const duration wait = m_caughtUp ? longPoll : duration(0);
    m_log.read(m_stream, m_next, wait, [this, alive = std::weak_ptr<bool>(m_alive)](const read_result& result) {
        if (!alive.expired())
            onRead(result);
    });
}

void log_follower::onRead(const read_result& result)
{
    if (!result.ok) {
        m_retry.startOnce(m_backoff.next());
        return;
    }
    m_backoff.reset();
    m_lastContact = m_clock.now();
    m_logMilliseconds = result.nowMilliseconds;
    m_retentionMilliseconds = result.retentionMilliseconds;
    if (result.oldest > m_next) {
        m_next = result.oldest;
        m_callbacks.onGap(result.oldest);
    }
    for (const log_record& record : result.records) {
        if (record.offset < m_next)
            continue;
        m_next = record.offset + 1;
        m_callbacks.onRecord(record);
    }
    m_caughtUp = m_caughtUp || result.records.empty();
    readNext();
}

} // namespace pollen
