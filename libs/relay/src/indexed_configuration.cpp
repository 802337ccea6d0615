#include <relay/relay_configuration.h>

namespace pollen {

indexed_configuration::indexed_configuration(relay_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (size_t i = 0; i < m_configuration.routes.size(); ++i)
        m_routes.emplace(m_configuration.routes[i].host + m_configuration.routes[i].pathPrefix, i);
    for (size_t i = 0; i < m_configuration.services.size(); ++i)
        m_services.emplace(m_configuration.services[i].name, i);
    if (!m_configuration.teams)
        return;
    for (size_t i = 0; i < m_configuration.teams->size(); ++i) {
        for (const std::string& key : (*m_configuration.teams)[i].keys)
            m_teamsByKey.emplace(key, i);
    }
}

const relay_route* indexed_configuration::findRoute(const std::string& host, std::string_view path) const
{
    size_t length = path.rfind('/');
    while (length != std::string_view::npos) {
        const auto found = m_routes.find(host + std::string(path.substr(0, length + 1)));
        if (found != m_routes.end())
            return &m_configuration.routes[found->second];
        if (length == 0)
            break;
        length = path.rfind('/', length - 1);
    }
    return nullptr;
}

const relay_team* indexed_configuration::findTeam(const std::string& key) const
{
    const auto found = m_teamsByKey.find(key);
    return found == m_teamsByKey.end() ? nullptr : &(*m_configuration.teams)[found->second];
}

const relay_service* indexed_configuration::findService(const service_name& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &m_configuration.services[found->second];
}

} // namespace pollen
