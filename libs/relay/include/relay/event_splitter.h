#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollen {

// Splits a stream of server-sent events into complete events and records the id of the last one. Lines end with LF,
// CRLF or CR. Each byte is looked at once, in whatever pieces the stream arrives.
class event_splitter {
public:
    // Appends bytes and returns the events that they complete.
    std::string feed(std::string_view bytes);

    // Bytes behind the last complete event.
    const std::string& partialEvent() const { return m_partialEvent; }
    // Whether these bytes begin an event. Blank lines and whole comments do not.
    bool isWithinEvent() const { return m_hasField || m_lineLength > 0; }
    void discardPartialEvent();

    // Id of the last complete event that had one; none before the first such event.
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }

    // Number of complete events so far. Comments alone are none.
    size_t completeEvents() const { return m_completeEvents; }

private:
    void addToLine(std::string_view text);
    // Returns whether all bytes up to here may be passed on.
    bool endLine();
    void readId(std::string_view line);

    std::string m_partialEvent;
    // Length of the line that is being read, and the part of it that may hold an id.
    size_t m_lineLength = 0;
    std::string m_line;
    // The last byte was a CR that has ended a line. An LF behind it belongs to it.
    bool m_afterCarriageReturn = false;
    // The event that is being read has a line that is no comment.
    bool m_hasField = false;
    std::optional<uint64_t> m_eventId;
    std::optional<uint64_t> m_lastEventId;
    size_t m_completeEvents = 0;
};

} // namespace pollen
