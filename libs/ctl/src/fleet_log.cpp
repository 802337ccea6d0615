#include "fleet_log.h"

#include <algorithm>
#include <map>

namespace pollen {

std::string fleet_log_line::field(const std::string& name) const
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

fleet_log readFleetLog(std::istream& input)
{
    fleet_log log;
    std::string text;
    while (std::getline(input, text)) {
        const size_t brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        try {
            fleet_log_line line;
            line.fields = nlohmann::json::parse(text.substr(brace));
            line.milliseconds = line.fields.at("time_ms").get<int64_t>();
            line.event = line.fields.at("event").get<std::string>();
            line.daemon = line.fields.at("source").get<std::string>();
            log.lines.push_back(std::move(line));
        } catch (const nlohmann::json::exception&) {
            // The caller is told how many there were; which of them matter is not known here.
            ++log.unreadable;
        }
    }
    std::stable_sort(log.lines.begin(), log.lines.end(),
        [](const auto& left, const auto& right) { return left.milliseconds < right.milliseconds; });
    return log;
}

std::string causeOf(const fleet_log_line& ended)
{
    static const std::map<std::string, std::string> causes {
        { "caller_gone", "the caller closed its connection before the answer was complete" },
        { "unknown_route", "no route of the configuration in force matches host and path" },
        { "unknown_key", "the key is not in the configuration in force" },
        { "configuration_outdated",
            "the configuration was too old to deny the request: the daemon had lost the store and its peers" },
        { "keys_outdated", "the configuration was too old to trust keys: the daemon had lost the store and its peers" },
        { "no_configuration", "the daemon knew no configuration or no servers yet" },
        { "no_request_id", "the request carried no id" },
        { "request_breaks_servers", "servers went down each time they ran this request" },
        { "no_server", "no server of the service was listed" },
        { "no_such_service", "the route names a service that the configuration does not have" },
        { "no_time_left", "the deadline was too close to send it again" },
        { "timed_out", "the server had not finished at the caller's deadline" },
        { "rate_limited", "the servers that could take it had named rate limits, and these were used up" },
        { "no_room_in_time", "every server turned it away, and the deadline was too close to wait for room" },
        { "not_run", "every server that was tried turned it away" },
        { "server_error", "the server answered with an error of its own" },
        { "connect_failed", "nothing answered at the servers' addresses" },
        { "server_unreachable", "the server fell silent and nothing accepts connections at its address" },
        { "connection_lost", "the server's connection broke while it ran the request, which may not be repeated" },
        { "unnamed_refusal",
            "the server's refusal did not name the request, which may have run behind it and may not be repeated" },
        { "malformed_response", "the server sent bytes that are not an answer" },
        { "response_too_large", "the server's answer was larger than allowed" },
    };
    const std::string outcome = ended.field("outcome");
    const auto found = causes.find(outcome == "caller_gone" ? outcome : ended.field("reason"));
    return found == causes.end() ? "" : found->second;
}

} // namespace pollen
