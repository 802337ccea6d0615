#include <control/instance_sync_system.h>

namespace pollen {

namespace {

constexpr duration readInterval = std::chrono::milliseconds(500);

listed_server toServer(const listed_instance& instance)
{
    server_entry entry;
    entry.id = instance.id;
    entry.kind = instance.role == instance_role::ModelEngine ? backend_kind::ModelEngine : backend_kind::PlainService;
    entry.failureDomain = instance.failureDomain;
    entry.address = instance.address;
    entry.versions = instance.versions;
    entry.service = instance.service;
    return { std::move(entry), instance.leaving };
}

} // namespace

instance_sync_system::instance_sync_system(
    instance_directory& directory, fleet_tables& tables, peer_table& peers, logger& logger)
    : m_directory(directory)
    , m_tables(tables)
    , m_peers(peers)
    , m_logger(logger)
    , m_alive(std::make_shared<bool>(true))
{
}

void instance_sync_system::tick(time_point now)
{
    if (m_reading || now < m_nextRead)
        return;
    m_reading = true;
    m_nextRead = now + readInterval;
    m_directory.list([this, now, alive = std::weak_ptr<bool>(m_alive)](const directory_answer& answer) {
        if (alive.expired())
            return;
        m_reading = false;
        if (answer.state == directory_state::Unavailable) {
            m_logger.write(log_level::Debug, "instance_list_unavailable", {});
            return;
        }
        m_lastListTime = now;
        if (answer.state == directory_state::Changed)
            onList(answer.instances);
    });
}

void instance_sync_system::onList(const std::vector<listed_instance>& list)
{
    std::vector<listed_server> servers;
    std::vector<listed_peer> peers;
    for (const listed_instance& instance : list) {
        if (instance.role == instance_role::Router)
            peers.push_back({ instance.id, instance.failureDomain, instance.address });
        else
            servers.push_back(toServer(instance));
    }
    m_tables.replaceServers(servers);
    m_peers.replaceListed(peers);
}

} // namespace pollen
