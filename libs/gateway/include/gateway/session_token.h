#pragma once

#include <base/typed_id.h>
#include <optional>
#include <string>

namespace pollen {

// A caller's session: the version it keeps, signed so that every daemon can trust it and none needs to store it.
struct session {
    std::string id;
    team_name team;
    version_ref version;

    friend bool operator==(const session&, const session&) = default;
};

// The text that a caller sends back with its next request.
std::string encodeSession(const session& session, const std::string& secret);

// None when the token is malformed, was signed with another secret, or was changed.
std::optional<session> decodeSession(const std::string& token, const std::string& secret);

} // namespace pollen
