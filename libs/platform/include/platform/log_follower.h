#pragma once

#include <base/backoff.h>
#include <http/event_loop.h>
#include <memory>
#include <platform/record_log.h>

namespace pollen {

// Reads one stream of the log from its oldest record on and stays at its end. Retries after failures.
class log_follower {
public:
    // Called for each record, in order. onGap is called first when records expired before they were read, with the
    // oldest offset that remains.
    struct callbacks {
        std::function<void(const log_record&)> onRecord;
        std::function<void(log_offset oldest)> onGap;
    };

    log_follower(event_loop& loop, record_log& log, std::string stream, random_source& random, const clock& clock,
        callbacks callbacks);

    void start();

    // True once a read has reached the end of the stream as it was then.
    bool caughtUp() const { return m_caughtUp; }
    // Offset of the last record handed over.
    log_offset position() const { return m_next - 1; }
    // Time of the last answer from the log; the epoch before the first.
    time_point lastContact() const { return m_lastContact; }
    // The log's clock and retention as of the last answer, in milliseconds.
    int64_t logMilliseconds() const { return m_logMilliseconds; }
    int64_t retentionMilliseconds() const { return m_retentionMilliseconds; }

private:
    void readNext();
    void onRead(const read_result& result);

    record_log& m_log;
    std::string m_stream;
    const clock& m_clock;
    callbacks m_callbacks;
    backoff m_backoff;
    timer m_retry;
    log_offset m_next = 1;
    bool m_caughtUp = false;
    time_point m_lastContact {};
    int64_t m_logMilliseconds = 0;
    int64_t m_retentionMilliseconds = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
