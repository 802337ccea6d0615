#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <optional>
#include <unordered_map>

namespace pollen {

// Remembers which version each session of a service used last.
class session_versions {
public:
    // lifetime: how long a session is remembered after its last request.
    explicit session_versions(duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    // None when the session is unknown or expired.
    std::optional<version_name> find(uint64_t session, time_point now) const;
    void recordUse(uint64_t session, const version_name& version, time_point now);
    void removeExpired(time_point now);

private:
    struct entry {
        version_name version;
        time_point lastUse;
    };

    duration m_lifetime;
    std::unordered_map<uint64_t, entry> m_sessions;
};

} // namespace pollen
