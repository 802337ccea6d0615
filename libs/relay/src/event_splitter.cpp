#include <relay/event_splitter.h>

#include <charconv>

namespace pollen {

namespace {

constexpr std::string_view idField = "id:";

// Position after the blank line that ends the first event; none if the event is incomplete.
std::optional<size_t> endOfEvent(std::string_view text)
{
    for (size_t line = text.find('\n'); line != std::string_view::npos; line = text.find('\n', line + 1)) {
        const std::string_view rest = text.substr(line + 1);
        if (rest.starts_with("\n"))
            return line + 2;
        if (rest.starts_with("\r\n"))
            return line + 3;
    }
    return std::nullopt;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    m_partialEvent += bytes;
    size_t complete = 0;
    while (const auto end = endOfEvent(std::string_view(m_partialEvent).substr(complete))) {
        readId(std::string_view(m_partialEvent).substr(complete, *end));
        complete += *end;
        ++m_completeEvents;
    }
    std::string events = m_partialEvent.substr(0, complete);
    m_partialEvent.erase(0, complete);
    return events;
}

void event_splitter::readId(std::string_view event)
{
    size_t line = 0;
    while (line < event.size()) {
        size_t end = event.find('\n', line);
        if (end == std::string_view::npos)
            end = event.size();
        std::string_view text = event.substr(line, end - line);
        line = end + 1;
        if (!text.starts_with(idField))
            continue;
        text.remove_prefix(idField.size());
        while (text.starts_with(' '))
            text.remove_prefix(1);
        uint64_t id = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), id);
        if (result.ec == std::errc())
            m_lastEventId = id;
    }
}

} // namespace pollen
