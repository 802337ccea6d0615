#include "estimate_log.h"

#include <nlohmann/json.hpp>
#include <regex>

namespace pollen {

namespace {

// Time of an attempt, server, model if the router chose it, and expected wait, as attempt_history writes them.
const std::regex& firstAttempt()
{
    static const std::regex pattern(R"(^\d{1,15}ms \S+(?: \S+)? wait (\d{1,15})ms(?=:|;|$))");
    return pattern;
}

// Throws nlohmann::json::exception where the field is missing or not a number.
int64_t integerField(const nlohmann::json& line, const char* name)
{
    return line.at(name).get_ref<const nlohmann::json::number_integer_t&>();
}

} // namespace

void estimate_log::read(std::istream& input)
{
    std::string text;
    while (std::getline(input, text))
        readLine(text);
}

void estimate_log::readLine(const std::string& text)
{
    const size_t brace = text.find('{');
    const nlohmann::json line
        = brace == std::string::npos ? nlohmann::json() : nlohmann::json::parse(text.substr(brace), nullptr, false);
    if (!line.is_object()) {
        ++m_unreadableLines;
        return;
    }
    try {
        if (line.at("event").get_ref<const std::string&>() != "request_ended") {
            ++m_otherEvents;
            return;
        }
        if (line.at("outcome").get_ref<const std::string&>() != "answered" || integerField(line, "attempts") != 1
            || integerField(line, "events") < 1) {
            ++m_otherRequests;
            return;
        }
        const int64_t measured = integerField(line, "first_byte_ms");
        std::smatch found;
        const auto& history = line.at("history").get_ref<const std::string&>();
        const std::string version = line.value("version", "");
        if (measured < 0 || !std::regex_search(history, found, firstAttempt())) {
            ++m_unreadableLines;
            return;
        }
        const estimate_pair pair { std::stoll(found.str(1)), measured };
        m_all.add(pair);
        if (!version.empty())
            m_byVersion[version].add(pair);
    } catch (const nlohmann::json::exception&) {
        // The caller reports the number of such lines; logs may hold lines of other versions of the daemon.
        ++m_unreadableLines;
    }
}

} // namespace pollen
