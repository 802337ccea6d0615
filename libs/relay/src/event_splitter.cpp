#include <relay/event_splitter.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace pollen {

namespace {

constexpr std::string_view idField = "id";
constexpr std::string_view dataField = "data";
constexpr std::array<std::string_view, 4> standardFields { dataField, "event", idField, "retry" };
// A longer line holds no id, and a longer name is none of a field.
constexpr size_t maximumIdLineBytes = 64;

bool isControlCharacter(char character)
{
    constexpr char firstPrintable = 0x20;
    constexpr char del = 0x7f;
    return (character >= 0 && character < firstPrintable && character != '\t') || character == del;
}

} // namespace

event_splitter::event_splitter(std::string extensionField, uint64_t callersLastEvent)
    : m_extensionField(std::move(extensionField))
    , m_lastEventId(callersLastEvent)
{
}

std::string event_splitter::feed(std::string_view bytes)
{
    // Length of the bytes that belong to complete events.
    size_t complete = 0;
    size_t at = 0;
    while (at < bytes.size() && m_fault == stream_fault::None) {
        if (std::exchange(m_afterCarriageReturn, false)) {
            const bool isPair = bytes[at] == '\n';
            const std::optional<bool> knownPairs = std::exchange(m_pairsLineEnds, isPair);
            if (knownPairs.value_or(isPair) != isPair) {
                m_fault = stream_fault::LineEnd;
                break;
            }
            if (isPair) {
                // Blank lines between two runs stay with the event that they follow.
                const bool endsBlankLine = !knownPairs && at == complete && (complete > 0 || m_partialEvent.empty());
                ++at;
                if (endsBlankLine || (knownPairs && endLine()))
                    complete = at;
                continue;
            }
        }
        const size_t end = std::min(bytes.find_first_of("\r\n", at), bytes.size());
        addToLine(bytes.substr(at, end - at));
        at = end;
        if (at == bytes.size())
            break;
        m_afterCarriageReturn = bytes[at] == '\r';
        checkLineEnd(bytes[at]);
        ++at;
        // Where lines end with CR and LF, a CR alone ends none.
        if (m_afterCarriageReturn && m_pairsLineEnds == true)
            continue;
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

void event_splitter::endRun()
{
    m_fault = stream_fault::None;
    m_lineTerminator.reset();
    m_partialEvent.clear();
    m_line.clear();
    m_lineLength = 0;
    m_afterCarriageReturn = false;
    m_pairsLineEnds.reset();
    m_hasField = false;
    m_hasId = false;
    m_hasData = false;
}

void event_splitter::addToLine(std::string_view text)
{
    m_lineLength += text.size();
    m_line += text.substr(0, maximumIdLineBytes - m_line.size());
    if (std::any_of(text.begin(), text.end(), isControlCharacter))
        m_fault = stream_fault::ForeignLine;
}

// The blank line of another answer's head must not end an event that has been cut.
void event_splitter::checkLineEnd(char terminator)
{
    if (!m_lineTerminator)
        m_lineTerminator = terminator;
    if (*m_lineTerminator != terminator)
        m_fault = stream_fault::LineEnd;
}

bool event_splitter::endLine()
{
    const std::string line = std::exchange(m_line, {});
    if (std::exchange(m_lineLength, 0) > 0) {
        checkField(line);
        return false;
    }
    if (m_fault != stream_fault::None)
        return false;
    m_lineTerminator.reset();
    m_hasField = false;
    if (m_hasId != m_hasData) {
        m_fault = stream_fault::IncompleteEvent;
        return false;
    }
    if (std::exchange(m_hasId, false)) {
        ++m_completeEvents;
        ++m_lastEventId;
    }
    m_hasData = false;
    // What precedes the first event is passed on together with it, so that the caller gets nothing of a server that
    // sends no event.
    return m_completeEvents > 0;
}

void event_splitter::checkField(std::string_view line)
{
    if (line.starts_with(':'))
        return;
    m_hasField = true;
    const std::string_view name = line.substr(0, line.find(':'));
    const bool isStandard = std::find(standardFields.begin(), standardFields.end(), name) != standardFields.end();
    if (!isStandard && (name.empty() || name != m_extensionField)) {
        m_fault = stream_fault::ForeignLine;
        return;
    }
    m_hasData = m_hasData || name == dataField;
    if (name == idField)
        checkId(line.substr(std::min(name.size() + 1, line.size())));
}

void event_splitter::checkId(std::string_view value)
{
    if (value.starts_with(' '))
        value.remove_prefix(1);
    uint64_t id = 0;
    const auto [end, problem] = std::from_chars(value.data(), value.data() + value.size(), id);
    const bool isNumber = problem == std::errc() && end == value.data() + value.size();
    if (std::exchange(m_hasId, true) || !isNumber || id != m_lastEventId + 1)
        m_fault = stream_fault::UnexpectedId;
}

} // namespace pollen
