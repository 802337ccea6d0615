#include <fleet/fleet_tables.h>

#include <algorithm>

namespace pollen {

namespace {

bool anyMatches(const std::vector<version_pattern>& patterns, const version_ref& ref)
{
    return std::any_of(
        patterns.begin(), patterns.end(), [&](const version_pattern& pattern) { return pattern.matches(ref); });
}

} // namespace

void fleet_tables::install(std::shared_ptr<const fleet_document> document)
{
    std::unordered_map<team_name, uint32_t> requests;
    for (const team_row& row : m_teams)
        requests[row.entry->name] = row.ownRequests;
    m_document = std::move(document);
    m_teams.clear();
    m_versions.clear();
    m_teamsByKeyDigest.clear();
    m_teamsByName.clear();
    for (const version_entry& entry : m_document->versions)
        m_versions.push_back({ &entry, {} });
    for (const team_entry& entry : m_document->teams) {
        const team_handle handle { static_cast<uint32_t>(m_teams.size()) };
        team_row row { &entry, {}, requests[entry.name] };
        for (const version_entry& version : m_document->versions)
            row.permissions.push_back(permissionOf(entry, version.ref));
        m_teams.push_back(std::move(row));
        m_teamsByName[entry.name] = handle;
        for (const std::string& digest : entry.keyDigests)
            m_teamsByKeyDigest[digest] = handle;
    }
    if (!m_document->servers.empty()) {
        std::vector<listed_server> list;
        for (const server_entry& entry : m_document->servers)
            list.push_back({ entry, false });
        m_servers.replaceListed(list);
    }
    indexServers();
}

void fleet_tables::replaceServers(const std::vector<listed_server>& list)
{
    m_servers.replaceListed(list);
    indexServers();
}

void fleet_tables::indexServers()
{
    for (version_row& version : m_versions) {
        version.servers.clear();
        for (uint32_t i = 0; i < m_servers.rows().size(); ++i) {
            const server_row& row = m_servers.rows()[i];
            const auto& served = row.entry.versions;
            if (row.used && std::find(served.begin(), served.end(), version.entry->ref) != served.end())
                version.servers.push_back({ i });
        }
    }
}

permission fleet_tables::permissionOf(const team_entry& team, const version_ref& ref) const
{
    bool allowed = anyMatches(team.allowed, ref);
    for (const exception_entry& exception : m_document->exceptions) {
        if (exception.team != team.name)
            continue;
        if (anyMatches(exception.deny, ref))
            return permission::DeniedByException;
        allowed = allowed || anyMatches(exception.allow, ref);
    }
    return allowed ? permission::Allowed : permission::NotAllowed;
}

std::optional<team_handle> fleet_tables::findTeam(const team_name& name) const
{
    const auto found = m_teamsByName.find(name);
    return found == m_teamsByName.end() ? std::nullopt : std::optional(found->second);
}

std::optional<team_handle> fleet_tables::findTeamByKeyDigest(const std::string& digest) const
{
    const auto found = m_teamsByKeyDigest.find(digest);
    return found == m_teamsByKeyDigest.end() ? std::nullopt : std::optional(found->second);
}

std::optional<class_handle> fleet_tables::findClass(const class_name& name) const
{
    const class_entry* entry = m_document->findClass(name);
    if (!entry)
        return std::nullopt;
    return class_handle { static_cast<uint32_t>(entry - m_document->classes.data()) };
}

std::optional<version_handle> fleet_tables::findVersion(const version_ref& ref) const
{
    const version_entry* entry = m_document->findVersion(ref);
    if (!entry)
        return std::nullopt;
    return version_handle { static_cast<uint32_t>(entry - m_document->versions.data()) };
}

double fleet_tables::qualityTarget(team_handle team, class_handle handle) const
{
    const class_entry& entry = requestClass(handle);
    const auto& teamTargets = m_teams[team.index].entry->qualityTargets;
    const auto found = teamTargets.find(entry.name);
    return found == teamTargets.end() ? entry.qualityTarget : found->second;
}

std::vector<server_handle> fleet_tables::serversOf(const service_name& service) const
{
    std::vector<server_handle> result;
    for (uint32_t i = 0; i < m_servers.rows().size(); ++i) {
        const server_row& row = m_servers.rows()[i];
        if (row.used && row.entry.kind == backend_kind::PlainService && row.entry.service == service)
            result.push_back({ i });
    }
    return result;
}

void fleet_tables::addTeamRequest(const team_name& name)
{
    if (const auto team = findTeam(name))
        ++m_teams[team->index].ownRequests;
}

void fleet_tables::removeTeamRequest(const team_name& name)
{
    const auto team = findTeam(name);
    if (team && m_teams[team->index].ownRequests > 0)
        --m_teams[team->index].ownRequests;
}

} // namespace pollen
