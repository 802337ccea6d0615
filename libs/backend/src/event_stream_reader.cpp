#include "event_stream_reader.h"

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view doneMark = "data: [DONE]";
constexpr std::string_view usageKey = "\"usage\":{";
constexpr size_t maximumLineBytes = 1U << 20;

} // namespace

std::optional<token_usage> parseUsage(std::string_view json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object() || !document.contains("usage") || !document["usage"].is_object())
        return std::nullopt;
    const auto& usage = document["usage"];
    const auto prompt = usage.find("prompt_tokens");
    const auto output = usage.find("completion_tokens");
    if (prompt == usage.end() || output == usage.end())
        return std::nullopt;
    if (!prompt->is_number_unsigned() || !output->is_number_unsigned())
        return std::nullopt;
    return token_usage { prompt->get<uint64_t>(), output->get<uint64_t>() };
}

std::string_view event_stream_reader::read(std::string_view bytes)
{
    const size_t newline = bytes.rfind('\n');
    if (newline == std::string_view::npos) {
        if (m_partialLine.size() + bytes.size() <= maximumLineBytes)
            m_partialLine += bytes;
        return {};
    }
    std::string_view lines = bytes.substr(0, newline + 1);
    if (!m_partialLine.empty()) {
        m_joined.swap(m_partialLine);
        m_joined += lines;
        lines = m_joined;
    }
    m_partialLine = bytes.substr(newline + 1);
    return lines.substr(0, readLines(lines));
}

size_t event_stream_reader::readLines(std::string_view lines)
{
    size_t start = 0;
    while (start < lines.size() && !m_done) {
        const size_t newline = lines.find('\n', start);
        std::string_view line = lines.substr(start, newline - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        m_done = line == doneMark;
        if (m_done)
            break;
        if (line.starts_with(dataPrefix) && line.find(usageKey) != std::string_view::npos)
            m_usage = parseUsage(line.substr(dataPrefix.size()));
        start = newline + 1;
    }
    return start;
}

} // namespace pollen
