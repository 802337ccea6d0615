#pragma once

#include <base/logger.h>
#include <config/configuration_fold.h>
#include <deque>
#include <fleet/fleet_system.h>
#include <fleet/fleet_tables.h>
#include <peer/peer_table.h>
#include <peer/state_exchange.h>
#include <platform/log_follower.h>

namespace pollen {

// Log stream that stores configuration changes.
constexpr const char* configurationStream = "configuration";

// Follows the configuration stream and installs the state after each accepted change. Writes a snapshot before the
// records that the state depends on expire. A daemon that cannot reach the log fetches the state from a peer that has a
// newer version.
class configuration_manager final : public fleet_system {
public:
    configuration_manager(event_loop& loop, record_log& log, fleet_tables& tables, peer_table& peers,
        state_exchange& exchange, const instance_id& self, random_source& random, const clock& clock, logger& logger);

    void start() { m_follower.start(); }
    void tick(time_point now) override;

    // Log offset of the installed change; 0 before the first.
    log_offset version() const { return m_reducer.state().version; }
    const configuration_state& state() const { return m_reducer.state(); }
    const log_follower& follower() const { return m_follower; }

private:
    void onRecord(const log_record& record);
    void logChange(const folded_change& change);
    void writeSnapshot();
    void writeSnapshotIfDue(time_point now);
    // Fetches the state from the peer with the newest version if the log has not delivered it in time.
    void catchUpFromPeers(time_point now);
    void onPeerState(const instance_id& peer, const std::optional<std::string>& state);
    void install();

    record_log& m_log;
    fleet_tables& m_tables;
    peer_table& m_peers;
    state_exchange& m_exchange;
    instance_id m_self;
    random_source& m_random;
    logger& m_logger;
    configuration_fold m_reducer;
    log_follower m_follower;
    // Log time of the oldest record needed to rebuild the state: the last valid snapshot, or the first record if there
    // is none.
    int64_t m_anchorMilliseconds = 0;
    time_point m_snapshotDue {};
    // Time since which some peer has reported a newer version; the epoch while none does.
    time_point m_behindSince {};
    time_point m_nextFetch {};
    bool m_fetching = false;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
