#pragma once

#include <base/clock.h>
#include <fleet/server_table.h>
#include <memory>
#include <relay/relay_configuration.h>

namespace pollen {

// This daemon's copy of the configuration and the server list, and when the configuration was last confirmed.
class relay_state {
public:
    // How long the configuration may be used after it was last confirmed to be the newest.
    struct lifetimes {
        // To accept keys; none for no limit.
        std::optional<duration> keys;
        // To deny what it does not contain.
        duration denials { 0 };
        // To send requests without asking for newer orders to evacuate failure domains; none for no limit.
        std::optional<duration> orders {};
    };

    explicit relay_state(const lifetimes& lifetimes)
        : m_lifetimes(lifetimes)
    {
    }

    // Replaces the current configuration if the given one is newer. Returns whether it did.
    bool install(relay_configuration configuration);

    // Records that the current configuration was the newest one at the given time.
    void setConfigurationConfirmed(time_point asOf);

    void setServersKnown() { m_serversKnown = true; }

    // Null until the first configuration is installed.
    const std::shared_ptr<const indexed_configuration>& configuration() const { return m_configuration; }
    time_point configurationConfirmedAt() const { return m_configurationConfirmedAt; }
    // Time since the configuration was last confirmed to be the newest.
    duration configurationAge(time_point now) const { return now - m_configurationConfirmedAt; }

    // The configuration is so old that keys may have been revoked without this daemon's knowledge.
    bool keysOutdated(time_point now) const { return m_lifetimes.keys && configurationAge(now) > *m_lifetimes.keys; }

    // The configuration is so old that routes and keys may have been added without this daemon's knowledge.
    bool denialsOutdated(time_point now) const { return configurationAge(now) > m_lifetimes.denials; }

    // Until when the configuration may deny; the distant past before there is one.
    time_point denialsUntil() const
    {
        return m_configuration ? m_configurationConfirmedAt + m_lifetimes.denials : time_point::min();
    }

    // The operators' orders are so old that a failure domain may be under evacuation without this daemon's knowledge.
    bool ordersOutdated(time_point now) const
    {
        return m_lifetimes.orders && configurationAge(now) > *m_lifetimes.orders;
    }

    // Begins the wait for a newer confirmation, or goes on with it. Returns false once it has lasted for as long as
    // fleet_sync needs to look for another source; the next confirmation ends the wait.
    bool waitForConfirmation(time_point now);

    bool serversKnown() const { return m_serversKnown; }

    server_table& servers() { return m_servers; }
    const server_table& servers() const { return m_servers; }

private:
    lifetimes m_lifetimes;
    std::shared_ptr<const indexed_configuration> m_configuration;
    time_point m_configurationConfirmedAt {};
    // Start of the wait for a confirmation newer than the last one.
    std::optional<time_point> m_confirmationWait;
    bool m_serversKnown = false;
    server_table m_servers;
};

} // namespace pollen
