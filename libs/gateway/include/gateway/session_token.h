#pragma once

#include <base/typed_id.h>
#include <optional>
#include <string>

namespace pollen {

// A caller's session with the version that it is bound to. Its token is signed, so that every daemon can verify it and
// none has to store sessions.
struct session {
    std::string id;
    team_name team;
    version_ref version;

    friend bool operator==(const session&, const session&) = default;
};

// Returns the token that the caller sends with its next request.
std::string encodeSession(const session& session, const std::string& secret);

// Returns none if the token is malformed, was signed with another secret, or was changed.
std::optional<session> decodeSession(const std::string& token, const std::string& secret);

} // namespace pollen
