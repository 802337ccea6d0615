#include <relay/session_versions.h>

namespace pollen {

std::optional<version_name> session_versions::find(uint64_t session, time_point now) const
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end() || now - found->second.lastUse > m_lifetime)
        return std::nullopt;
    return found->second.version;
}

void session_versions::recordUse(uint64_t session, const version_name& version, time_point now)
{
    m_sessions[session] = { version, now };
}

void session_versions::removeExpired(time_point now)
{
    std::erase_if(m_sessions, [&](const auto& item) { return now - item.second.lastUse > m_lifetime; });
}

} // namespace pollen
