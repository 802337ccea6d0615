#pragma once

#include <deque>
#include <http/event_loop.h>
#include <map>
#include <platform/record_log.h>

namespace pollen {

// A log within this process, for an instance that runs without the platform. Keeps the newest records of each stream
// up to a limit.
class memory_record_log final : public record_log {
public:
    memory_record_log(event_loop& loop, const clock& clock, size_t maximumRecords);

    void append(const std::string& stream, std::vector<std::string> records, append_callback callback) override;
    void read(const std::string& stream, log_offset from, duration wait, read_callback callback) override;

private:
    struct waiting_read {
        log_offset from;
        read_callback callback;
    };
    struct stream_state {
        std::deque<log_record> records;
        log_offset next = 1;
        std::vector<waiting_read> waiting;
    };

    read_result readFrom(const stream_state& stream, log_offset from) const;

    event_loop& m_loop;
    const clock& m_clock;
    size_t m_maximumRecords;
    std::map<std::string, stream_state> m_streams;
};

} // namespace pollen
