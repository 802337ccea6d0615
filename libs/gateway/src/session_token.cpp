#include <gateway/session_token.h>

#include <base/digest.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr size_t maximumTokenBytes = 2048;
// Prefix of the signed text, so that session signatures differ from those of other uses of the secret.
constexpr const char* signaturePurpose = "session:";

} // namespace

std::string encodeSession(const session& session, const std::string& secret)
{
    const nlohmann::json json { session.id, session.team.text(), session.version.text() };
    const std::string payload = toHex(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    return payload + "." + hmacSha256Hex(secret, signaturePurpose + payload);
}

std::optional<session> decodeSession(const std::string& token, const std::string& secret)
{
    const size_t dot = token.find('.');
    if (dot == std::string::npos || token.size() > maximumTokenBytes)
        return std::nullopt;
    const std::string payload = token.substr(0, dot);
    if (!equalInConstantTime(token.substr(dot + 1), hmacSha256Hex(secret, signaturePurpose + payload)))
        return std::nullopt;
    const auto json = nlohmann::json::parse(fromHex(payload), nullptr, false);
    if (!json.is_array() || json.size() != 3)
        return std::nullopt;
    return session { json[0].get<std::string>(), team_name(json[1].get<std::string>()),
        parseVersionRef(json[2].get<std::string>()) };
}

} // namespace pollen
