#pragma once

#include <backend/model_engine.h>
#include <string>

namespace pollen {

// Reads a stream of server-sent events: passes on whole lines up to the closing [DONE], and remembers the usage.
class event_stream_parser {
public:
    // Returns the whole lines that the bytes complete, without [DONE] and what follows it. The view is valid until the
    // next call and no longer than the bytes.
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
};

// The usage object of a chat completion or of one of its chunks; none when it is absent or malformed.
std::optional<token_usage> parseUsage(std::string_view json);

} // namespace pollen
