#pragma once

#include <fleet/server_table.h>
#include <memory>

namespace pollen {

// Whether the configuration lets a team use a version.
enum class permission {
    Allowed,
    NotAllowed,
    DeniedByException,
};

struct team_row {
    const team_entry* entry = nullptr;
    // Indexed by version_handle.
    std::vector<permission> permissions;
    // Requests of this team that are in flight on this daemon.
    uint32_t ownRequests = 0;
};

struct version_row {
    const version_entry* entry = nullptr;
    std::vector<server_handle> servers;
};

// The data that routing decisions read. install() rebuilds the tables of teams and versions and invalidates the handles
// of teams, versions and classes; requests in flight therefore keep names instead of handles.
class fleet_tables {
public:
    // Makes the document the current configuration. Teams that it still contains keep their request counts.
    void install(std::shared_ptr<const fleet_document> document);

    // Updates the backend servers to the platform's instance list.
    void replaceServers(const std::vector<listed_server>& list);

    const std::shared_ptr<const fleet_document>& document() const { return m_document; }

    std::optional<team_handle> findTeam(const team_name& name) const;
    std::optional<team_handle> findTeamByKeyDigest(const std::string& digest) const;
    std::optional<class_handle> findClass(const class_name& name) const;
    std::optional<version_handle> findVersion(const version_ref& ref) const;

    const team_row& team(team_handle team) const { return m_teams[team.index]; }
    const version_row& version(version_handle version) const { return m_versions[version.index]; }
    const std::vector<version_row>& versions() const { return m_versions; }
    const class_entry& requestClass(class_handle handle) const { return m_document->classes[handle.index]; }

    // Minimum expected quality for a class: the team's own target if it has one, else the default of the class.
    double qualityTarget(team_handle team, class_handle handle) const;

    // All servers of a plain service, including those that are unavailable; ordered by handle.
    std::vector<server_handle> serversOf(const service_name& service) const;

    void addTeamRequest(const team_name& name);
    void removeTeamRequest(const team_name& name);

    server_table& servers() { return m_servers; }
    const server_table& servers() const { return m_servers; }

private:
    void indexServers();
    permission permissionOf(const team_entry& team, const version_ref& ref) const;

    std::shared_ptr<const fleet_document> m_document;
    std::vector<team_row> m_teams;
    std::vector<version_row> m_versions;
    server_table m_servers;
    std::unordered_map<std::string, team_handle> m_teamsByKeyDigest;
    std::unordered_map<team_name, team_handle> m_teamsByName;
};

} // namespace pollen
