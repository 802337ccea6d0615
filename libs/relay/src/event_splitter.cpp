#include <relay/event_splitter.h>

#include <algorithm>
#include <charconv>

namespace pollen {

namespace {

constexpr std::string_view idField = "id:";

// Calls the function for each line that is neither blank nor a comment.
template <typename Function> void forEachLine(std::string_view text, const Function& function)
{
    size_t start = 0;
    while (start < text.size()) {
        const size_t end = std::min(text.find('\n', start), text.size());
        std::string_view line = text.substr(start, end - start);
        start = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty() && !line.starts_with(':'))
            function(line);
    }
}

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
        m_completeEvents += readFields(std::string_view(m_partialEvent).substr(complete, *end)) ? 1 : 0;
        complete += *end;
    }
    std::string events = m_partialEvent.substr(0, complete);
    m_partialEvent.erase(0, complete);
    return events;
}

bool event_splitter::isWithinEvent() const
{
    const size_t wholeLines = m_partialEvent.rfind('\n') + 1;
    const std::string_view rest = std::string_view(m_partialEvent).substr(wholeLines);
    if (!rest.empty() && rest != "\r")
        return true;
    bool hasField = false;
    forEachLine(std::string_view(m_partialEvent).substr(0, wholeLines), [&](std::string_view) { hasField = true; });
    return hasField;
}

bool event_splitter::readFields(std::string_view event)
{
    bool hasField = false;
    forEachLine(event, [&](std::string_view line) {
        hasField = true;
        if (!line.starts_with(idField))
            return;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        uint64_t id = 0;
        const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
        if (result.ec == std::errc())
            m_lastEventId = id;
    });
    return hasField;
}

} // namespace pollen
