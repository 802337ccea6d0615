#pragma once

#include <base/clock.h>
#include <fleet/server_table.h>
#include <memory>
#include <relay/relay_configuration.h>

namespace pollen {

// What this daemon believes about the fleet, and since when it may be out of date.
class relay_state {
public:
    // keyLifetime: how long keys are honoured without news of the configuration; none for ever.
    explicit relay_state(std::optional<duration> keyLifetime)
        : m_keyLifetime(keyLifetime)
    {
    }

    // Puts a configuration into force unless it is older than the one in force. Returns whether it did.
    bool install(relay_configuration configuration);

    // The configuration in force was the newest one at this time.
    void setConfigurationConfirmed(time_point asOf)
    {
        m_configurationConfirmedAt = std::max(m_configurationConfirmedAt, asOf);
    }

    void setServersKnown() { m_serversKnown = true; }

    // Null before the first one.
    const std::shared_ptr<const indexed_configuration>& configuration() const { return m_configuration; }
    time_point configurationConfirmedAt() const { return m_configurationConfirmedAt; }

    // Keys may have been revoked without this daemon knowing.
    bool keysOutdated(time_point now) const
    {
        return m_keyLifetime && now - m_configurationConfirmedAt > *m_keyLifetime;
    }

    bool serversKnown() const { return m_serversKnown; }

    server_table& servers() { return m_servers; }
    const server_table& servers() const { return m_servers; }

private:
    std::optional<duration> m_keyLifetime;
    std::shared_ptr<const indexed_configuration> m_configuration;
    time_point m_configurationConfirmedAt {};
    bool m_serversKnown = false;
    server_table m_servers;
};

} // namespace pollen
