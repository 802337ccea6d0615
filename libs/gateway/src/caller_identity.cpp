#include "caller_identity.h"

#include <base/digest.h>
#include <charconv>

namespace pollen {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr size_t maximumKeyBytes = 200;

[[noreturn]] void throwRequestError(error_kind kind, const std::string& message)
{
    throw request_error({ kind, run_state::NotRun, message });
}

} // namespace

team_handle authenticate(const http_request& request, const fleet_tables& tables)
{
    const std::string_view header = findHeader(request.headers, "Authorization");
    if (!header.starts_with(bearerPrefix))
        throwRequestError(error_kind::MissingKey, "send the team's key as Authorization: Bearer KEY");
    const auto team = tables.findTeamByKeyDigest(sha256Hex(header.substr(bearerPrefix.size())));
    if (!team)
        throwRequestError(error_kind::WrongKey, "the key belongs to no team");
    return *team;
}

class_handle requestedClass(const http_request& request, const fleet_tables& tables, team_handle team)
{
    const std::string name(findHeader(request.headers, "X-Pollen-Class"));
    const auto found = tables.findClass(name.empty() ? tables.team(team).entry->defaultClass : class_name(name));
    if (!found)
        throwRequestError(error_kind::UnknownClass, "there is no class '" + name + "'");
    return *found;
}

duration requestedDeadline(const http_request& request, duration defaultDeadline, duration maximumDeadline)
{
    const std::string_view text = findHeader(request.headers, "X-Pollen-Deadline-Ms");
    if (text.empty())
        return std::min(defaultDeadline, maximumDeadline);
    int64_t milliseconds = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (problem != std::errc() || end != text.data() + text.size() || milliseconds <= 0)
        throwRequestError(
            error_kind::InvalidDeadline, "X-Pollen-Deadline-Ms must be a positive whole number of milliseconds");
    return std::chrono::milliseconds(std::min(milliseconds, toMilliseconds(maximumDeadline)));
}

std::string idempotencyKey(const http_request& request)
{
    const std::string_view key = findHeader(request.headers, "Idempotency-Key");
    if (key.size() > maximumKeyBytes)
        throwRequestError(error_kind::InvalidIdempotencyKey, "Idempotency-Key may have at most 200 characters");
    return std::string(key);
}

} // namespace pollen
