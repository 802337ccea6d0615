#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollen {

// Cuts a stream of server-sent events at the ends of its events, and remembers the id of the last whole one.
class event_splitter {
public:
    // Takes in bytes and returns the whole events that they complete.
    std::string feed(std::string_view bytes);

    // What has arrived of an event that is not complete.
    const std::string& partialEvent() const { return m_partialEvent; }
    void discardPartialEvent() { m_partialEvent.clear(); }

    // Id of the last whole event; none before the first event with one.
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }

private:
    void readId(std::string_view event);

    std::string m_partialEvent;
    std::optional<uint64_t> m_lastEventId;
};

} // namespace pollen
