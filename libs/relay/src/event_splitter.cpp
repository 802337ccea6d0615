#include <relay/event_splitter.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace pollen {

namespace {

constexpr std::string_view idField = "id:";
// A longer line holds no id.
constexpr size_t maximumIdLineBytes = 64;

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    // Length of the bytes that belong to complete events.
    size_t complete = 0;
    size_t at = 0;
    while (at < bytes.size()) {
        if (std::exchange(m_afterCarriageReturn, false) && bytes[at] == '\n') {
            // The CR may have ended an event, to which the LF belongs as well.
            const bool endsEvent = at == complete && (complete > 0 || m_partialEvent.empty());
            ++at;
            complete = endsEvent ? at : complete;
            continue;
        }
        const size_t end = std::min(bytes.find_first_of("\r\n", at), bytes.size());
        addToLine(bytes.substr(at, end - at));
        at = end;
        if (at == bytes.size())
            break;
        m_afterCarriageReturn = bytes[at] == '\r';
        ++at;
        if (endLine())
            complete = at;
    }
    std::string events;
    if (complete > 0) {
        events = std::exchange(m_partialEvent, {});
        events += bytes.substr(0, complete);
    }
    m_partialEvent += bytes.substr(complete);
    return events;
}

void event_splitter::discardPartialEvent()
{
    m_partialEvent.clear();
    m_line.clear();
    m_lineLength = 0;
    m_afterCarriageReturn = false;
    m_hasField = false;
    m_eventId.reset();
}

void event_splitter::addToLine(std::string_view text)
{
    m_lineLength += text.size();
    m_line += text.substr(0, maximumIdLineBytes - m_line.size());
}

bool event_splitter::endLine()
{
    const std::string line = std::exchange(m_line, {});
    if (std::exchange(m_lineLength, 0) > 0) {
        m_hasField = m_hasField || !line.starts_with(':');
        readId(line);
        return false;
    }
    if (std::exchange(m_hasField, false)) {
        ++m_completeEvents;
        m_lastEventId = m_eventId ? m_eventId : m_lastEventId;
    }
    m_eventId.reset();
    // What precedes the first event is passed on together with it, so that the caller gets nothing of a server that
    // sends no event.
    return m_completeEvents > 0;
}

void event_splitter::readId(std::string_view line)
{
    if (!line.starts_with(idField))
        return;
    line.remove_prefix(idField.size());
    while (line.starts_with(' '))
        line.remove_prefix(1);
    uint64_t id = 0;
    const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc())
        m_eventId = id;
}

} // namespace pollen
