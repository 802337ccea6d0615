#include "event_stream_parser.h"

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view doneLine = "data: [DONE]";
constexpr std::string_view usageKey = "\"usage\":{";
constexpr size_t maximumLineBytes = 1U << 20;

// SAX handler that extracts the usage without building the whole document.
class usage_reader final : public nlohmann::json_sax<nlohmann::json> {
public:
    std::optional<token_usage> usage() const
    {
        if (!m_promptTokens || !m_outputTokens)
            return std::nullopt;
        return token_usage { *m_promptTokens, *m_outputTokens };
    }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t value) override
    {
        if (!m_inUsage || m_depth != usageDepth)
            return true;
        if (m_key == "prompt_tokens")
            m_promptTokens = value;
        if (m_key == "completion_tokens")
            m_outputTokens = value;
        return true;
    }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override
    {
        ++m_depth;
        m_inUsage = m_inUsage || (m_depth == usageDepth && m_key == "usage");
        return true;
    }
    bool key(string_t& name) override
    {
        m_key = name;
        return true;
    }
    bool end_object() override { return closeContainer(); }
    bool start_array(std::size_t) override
    {
        ++m_depth;
        return true;
    }
    bool end_array() override { return closeContainer(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

private:
    // Nesting depth inside the usage object, which is a member of the document's top-level object.
    static constexpr int usageDepth = 2;

    bool closeContainer()
    {
        m_inUsage = m_inUsage && m_depth != usageDepth;
        --m_depth;
        return true;
    }

    int m_depth = 0;
    bool m_inUsage = false;
    std::string m_key;
    std::optional<uint64_t> m_promptTokens;
    std::optional<uint64_t> m_outputTokens;
};

} // namespace

std::optional<token_usage> parseUsage(std::string_view json)
{
    usage_reader reader;
    if (!nlohmann::json::sax_parse(json, &reader))
        return std::nullopt;
    return reader.usage();
}

std::string_view event_stream_parser::read(std::string_view bytes)
{
    if (m_overflowed)
        return {};
    const size_t newline = bytes.rfind('\n');
    if (newline == std::string_view::npos) {
        m_overflowed = m_overflowed || m_partialLine.size() + bytes.size() > maximumLineBytes;
        if (!m_overflowed)
            m_partialLine += bytes;
        return {};
    }
    std::string_view lines = bytes.substr(0, newline + 1);
    if (!m_partialLine.empty()) {
        m_joinedLines.swap(m_partialLine);
        m_joinedLines += lines;
        lines = m_joinedLines;
    }
    m_partialLine = bytes.substr(newline + 1);
    return lines.substr(0, readLines(lines));
}

size_t event_stream_parser::readLines(std::string_view lines)
{
    size_t start = 0;
    while (start < lines.size() && !m_done) {
        const size_t newline = lines.find('\n', start);
        std::string_view line = lines.substr(start, newline - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        m_done = line == doneLine;
        if (m_done)
            break;
        if (line.starts_with(dataPrefix) && line.find(usageKey) != std::string_view::npos)
            m_usage = parseUsage(line.substr(dataPrefix.size()));
        start = newline + 1;
    }
    return start;
}

} // namespace pollen
