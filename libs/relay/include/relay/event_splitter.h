#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollen {

// Splits a stream of server-sent events into complete events and records the id of the last one.
class event_splitter {
public:
    // Appends bytes and returns the events that they complete.
    std::string feed(std::string_view bytes);

    // Bytes behind the last complete event.
    const std::string& partialEvent() const { return m_partialEvent; }
    // Whether these bytes begin an event. Blank lines and whole comments do not.
    bool isWithinEvent() const;
    void discardPartialEvent() { m_partialEvent.clear(); }

    // Id of the last complete event that had one; none before the first such event.
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }

    // Number of complete events so far. Comments alone are none.
    size_t completeEvents() const { return m_completeEvents; }

private:
    // Reads the fields of an event; false if it has none.
    bool readFields(std::string_view event);

    std::string m_partialEvent;
    std::optional<uint64_t> m_lastEventId;
    size_t m_completeEvents = 0;
};

} // namespace pollen
