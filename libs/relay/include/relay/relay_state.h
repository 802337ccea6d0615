#pragma once

#include <base/clock.h>
#include <fleet/server_table.h>
#include <memory>
#include <relay/relay_configuration.h>

namespace pollen {

// This daemon's copy of the configuration and the server list, and when the configuration was last confirmed.
class relay_state {
public:
    // keyLifetime: how long keys are accepted after the configuration was last confirmed; none for no limit.
    explicit relay_state(std::optional<duration> keyLifetime)
        : m_keyLifetime(keyLifetime)
    {
    }

    // Replaces the current configuration if the given one is newer. Returns whether it did.
    bool install(relay_configuration configuration);

    // Records that the current configuration was the newest one at the given time.
    void setConfigurationConfirmed(time_point asOf)
    {
        m_configurationConfirmedAt = std::max(m_configurationConfirmedAt, asOf);
    }

    void setServersKnown() { m_serversKnown = true; }

    // Null until the first configuration is installed.
    const std::shared_ptr<const indexed_configuration>& configuration() const { return m_configuration; }
    time_point configurationConfirmedAt() const { return m_configurationConfirmedAt; }
    // Time since the configuration was last confirmed to be the newest.
    duration configurationAge(time_point now) const { return now - m_configurationConfirmedAt; }

    // The configuration is so old that keys may have been revoked without this daemon's knowledge.
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
