#include <platform/memory_record_log.h>

#include <limits>
#include <utility>

namespace pollen {

memory_record_log::memory_record_log(event_loop& loop, const clock& clock, size_t maximumRecords)
    : m_loop(loop)
    , m_clock(clock)
    , m_maximumRecords(maximumRecords)
{
}

void memory_record_log::append(const std::string& stream, std::vector<std::string> records, append_callback callback)
{
    stream_state& state = m_streams[stream];
    const log_offset first = state.next;
    for (std::string& value : records)
        state.records.push_back({ state.next++, m_clock.wallMilliseconds(), std::move(value) });
    while (state.records.size() > m_maximumRecords)
        state.records.pop_front();
    m_loop.post([first, callback = std::move(callback)] { callback({ append_outcome::Appended, first }); });
    for (waiting_read& waiting : std::exchange(state.waiting, {})) {
        m_loop.post(
            [result = readFrom(state, waiting.from), callback = std::move(waiting.callback)] { callback(result); });
    }
}

void memory_record_log::read(const std::string& stream, log_offset from, duration wait, read_callback callback)
{
    stream_state& state = m_streams[stream];
    read_result result = readFrom(state, from);
    if (result.records.empty() && wait.count() > 0) {
        state.waiting.push_back({ from, std::move(callback) });
        return;
    }
    m_loop.post([result = std::move(result), callback = std::move(callback)] { callback(result); });
}

read_result memory_record_log::readFrom(const stream_state& stream, log_offset from) const
{
    read_result result { true, {}, 1, m_clock.wallMilliseconds(), std::numeric_limits<int64_t>::max() };
    if (!stream.records.empty())
        result.oldest = stream.records.front().offset;
    for (const log_record& record : stream.records) {
        if (record.offset >= from)
            result.records.push_back(record);
    }
    return result;
}

} // namespace pollen
