#pragma once

#include <base/logger.h>
#include <config/configuration_fold.h>
#include <deque>
#include <fleet/fleet_system.h>
#include <fleet/fleet_tables.h>
#include <platform/log_follower.h>

namespace pollen {

// Name of the stream that carries the configuration.
constexpr const char* configurationStream = "configuration";

// Follows the configuration stream, folds it and puts each accepted change into force. Before old records expire it
// writes a snapshot that carries the state forward.
class configuration_keeper final : public fleet_system {
public:
    configuration_keeper(event_loop& loop, record_log& log, fleet_tables& tables, const instance_id& self,
        random_source& random, const clock& clock, logger& logger);

    void start() { m_follower.start(); }
    void tick(time_point now) override;

    // Offset of the change in force; 0 when there is none yet.
    log_offset version() const { return m_fold.state().version; }
    const configuration_state& state() const { return m_fold.state(); }
    const log_follower& follower() const { return m_follower; }

private:
    void onRecord(const log_record& record);
    void report(const folded_change& change);
    void writeSnapshot();

    record_log& m_log;
    fleet_tables& m_tables;
    instance_id m_self;
    random_source& m_random;
    logger& m_logger;
    configuration_fold m_fold;
    log_follower m_follower;
    // Log time of the oldest record that a fold from scratch needs.
    int64_t m_anchorMilliseconds = 0;
    time_point m_nextSnapshotTry {};
};

} // namespace pollen
