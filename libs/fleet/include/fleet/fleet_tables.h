#pragma once

#include <fleet/server_table.h>
#include <memory>

namespace pollen {

// What the configuration says about one team and one version.
enum class permission {
    Allowed,
    NotAllowed,
    DeniedByException,
};

struct team_row {
    const team_entry* entry = nullptr;
    // By version_handle.
    std::vector<permission> permissions;
    uint32_t ownRequests = 0;
};

struct version_row {
    const version_entry* entry = nullptr;
    std::vector<server_handle> servers;
};

// Everything a decision looks at, in tables. The configured tables are rebuilt when a document comes into force;
// handles of teams, versions and classes are valid until then, and requests in flight hold names instead.
class fleet_tables {
public:
    // Puts a document into force. Requests counted for teams that remain are kept.
    void install(std::shared_ptr<const fleet_document> document);

    // Brings the backend servers in line with the platform's list.
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

    // Lowest acceptable quality for a class, with the team's own target if it has one.
    double qualityTarget(team_handle team, class_handle handle) const;

    // Servers of a plain service that may take work, by handle.
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
