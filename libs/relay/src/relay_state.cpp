#include <relay/relay_state.h>

namespace pollen {

namespace {

// Two requests of fleet_sync to other daemons, or one call to the store.
constexpr duration maximumConfirmationWait = std::chrono::milliseconds(300);

} // namespace

bool relay_state::install(relay_configuration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->configuration().version)
        return false;
    m_configuration = std::make_shared<const indexed_configuration>(std::move(configuration));
    return true;
}

void relay_state::setConfigurationConfirmed(time_point asOf)
{
    if (asOf <= m_configurationConfirmedAt)
        return;
    m_configurationConfirmedAt = asOf;
    m_confirmationWait.reset();
}

bool relay_state::waitForConfirmation(time_point now)
{
    if (!m_confirmationWait)
        m_confirmationWait = now;
    return now - *m_confirmationWait < maximumConfirmationWait;
}

} // namespace pollen
