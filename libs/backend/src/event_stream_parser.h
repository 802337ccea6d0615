#pragma once

#include <backend/model_engine.h>
#include <string>

namespace pollen {

// Splits a stream of server-sent events into complete lines up to the final [DONE] and extracts the token usage.
class event_stream_parser {
public:
    // Returns the lines completed by the bytes, without [DONE] and anything after it. The view is valid until the next
    // call and only as long as the bytes are. Nothing follows a line beyond 1 MiB, so that the stream is never done.
    std::string_view read(std::string_view bytes);

    bool done() const { return m_done; }
    const std::optional<token_usage>& usage() const { return m_usage; }

private:
    // Returns the length of the lines before [DONE].
    size_t readLines(std::string_view lines);

    std::string m_partialLine;
    std::string m_joinedLines;
    std::optional<token_usage> m_usage;
    bool m_done = false;
    // A line has exceeded its limit.
    bool m_overflowed = false;
};

// Returns the usage of a chat completion or of one of its chunks; none if it is absent or malformed.
std::optional<token_usage> parseUsage(std::string_view json);

} // namespace pollen
