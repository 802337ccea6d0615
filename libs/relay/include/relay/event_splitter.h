#pragma once

#include <cstdint>
#include <optional>
#include <relay/stream_fault.h>
#include <string>
#include <string_view>

namespace pollen {

// Splits a stream of server-sent events into complete events and checks that they follow each other: their ids rise by
// one, from the last event that the caller has. Lines end with LF, CRLF or CR. Each byte is looked at once, in whatever
// pieces the stream arrives. Several servers may continue the stream, each with a run of its own.
class event_splitter {
public:
    // extensionField: name of a field that events may have beside those of the standard; empty if there is none.
    // callersLastEvent: id of the event behind which the caller resumes; 0 if it has none yet.
    explicit event_splitter(std::string extensionField = {}, uint64_t callersLastEvent = 0);

    // Appends bytes of the current run and returns the events that they complete. After a fault none are completed.
    std::string feed(std::string_view bytes);

    // The first bytes of the current run that do not belong to the stream.
    stream_fault fault() const { return m_fault; }

    // Bytes behind the last complete event.
    const std::string& partialEvent() const { return m_partialEvent; }
    // Whether these bytes begin an event. Blank lines and whole comments do not.
    bool isWithinEvent() const { return m_hasField || m_lineLength > 0; }

    // Drops the partial event and the fault of the current run. The next bytes are those of another run.
    void endRun();

    // Id of the last complete event, or of the caller's last one.
    uint64_t lastEventId() const { return m_lastEventId; }

    // Number of complete events so far. Comments alone are none.
    size_t completeEvents() const { return m_completeEvents; }

private:
    void addToLine(std::string_view text);
    // Returns whether all bytes up to here may be passed on.
    bool endLine();
    void checkLineEnd(char terminator);
    void checkField(std::string_view line);
    void checkId(std::string_view value);

    std::string m_extensionField;
    stream_fault m_fault = stream_fault::None;
    // The byte that ended the first line of this event.
    std::optional<char> m_lineTerminator;
    std::string m_partialEvent;
    // Length of the line that is being read, and the part of it that holds the field's name and may hold an id.
    size_t m_lineLength = 0;
    std::string m_line;
    // The last byte was a CR. An LF behind it belongs to the same line end.
    bool m_afterCarriageReturn = false;
    // Whether LF follows each CR of this run, once that is known.
    std::optional<bool> m_pairsLineEnds;
    // The event that is being read has a line that is no comment.
    bool m_hasField = false;
    // And these fields.
    bool m_hasId = false;
    bool m_hasData = false;
    uint64_t m_lastEventId;
    size_t m_completeEvents = 0;
};

} // namespace pollen
