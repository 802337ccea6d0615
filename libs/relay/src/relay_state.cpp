#include <relay/relay_state.h>

namespace pollen {

bool relay_state::install(relay_configuration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->configuration().version)
        return false;
    m_configuration = std::make_shared<const indexed_configuration>(std::move(configuration));
    return true;
}

} // namespace pollen
