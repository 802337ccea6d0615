#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <fleet/server_table.h>
#include <memory>
#include <optional>
#include <peer/state_exchange.h>
#include <relay/crash_publisher.h>
#include <relay/fleet_store.h>
#include <relay/rollout_system.h>
#include <relay/view_message.h>

namespace pollen {

// Decides who reads the store. In each failure domain the daemons ask the first of them that works, by id; that one, or
// each one for which none of those before it works, reads the store itself. A daemon that the store turns away asks any
// other daemon. While the store is away for the daemons that read it, only a few of each failure domain go on looking
// for it: hundreds that ask at once would cost more than they find out.
class view_sharing final : public fleet_system {
public:
    struct identity {
        instance_id id;
        failure_domain_name failureDomain;
    };

    // A view that is older shows that its holder has lost its source.
    struct age_limits {
        duration ofPeers { 0 };
        duration ofStore { 0 };
    };

    // servers: where the work of other daemons is entered. crashTable: where their reports of crashes are.
    view_sharing(identity self, age_limits limits, fleet_store& store, server_table& servers, rollout_system& rollouts,
        crash_table& crashTable, crash_publisher& crashes, state_exchange& exchange, const clock& time, logger& log);

    void tick(time_point now) override;

    // The daemon that is asked instead of the store; empty while the store is read.
    const instance_id& upstream() const { return m_upstream; }

private:
    std::optional<listed_peer> choosePeer(time_point now);
    bool works(const instance_id& peer, time_point now) const;
    // Daemons of the failure domain before this one.
    size_t daemonsBefore() const;
    bool standsBack(time_point now) const;
    // The view is not known yet, and others may be about to know it.
    bool isStarting(time_point now) const;
    bool shouldRead(time_point now) const;
    void updateReading(time_point now);
    void ask(const listed_peer& peer, time_point now);
    void onReply(const instance_id& peer, const std::optional<std::string>& bytes, time_point asked);
    void fail(const instance_id& peer, const char* reason, time_point now);
    void setUpstream(const instance_id& peer);
    std::string answer(const std::string& bytes);
    duration viewAge(time_point now) const;
    std::vector<server_work> ownWork() const;
    // The work of all daemons of the group but one, this daemon's own included.
    std::vector<server_work> workBeside(const instance_id& daemon, time_point now) const;
    void enterWork(const std::vector<server_work>& work);

    // What a daemon that asks this one has under way.
    struct member_work {
        std::vector<server_work> work;
        time_point heard;
    };

    struct penalty {
        time_point until;
        uint32_t failures = 0;
    };

    identity m_self;
    age_limits m_limits;
    fleet_store& m_store;
    server_table& m_servers;
    rollout_system& m_rollouts;
    crash_table& m_crashTable;
    crash_publisher& m_crashes;
    state_exchange& m_exchange;
    const clock& m_time;
    logger& m_log;
    instance_id m_upstream;
    std::map<instance_id, penalty> m_penalties;
    std::map<instance_id, member_work> m_members;
    time_point m_nextEntry {};
    // The request that is under way.
    uint64_t m_asking = 0;
    std::optional<listed_peer> m_asked;
    time_point m_askedAt {};
    time_point m_next {};
    size_t m_turn = 0;
    bool m_reading = false;
    std::optional<time_point> m_started;
    // When a peer last answered with a view that was too old, and with one that was not.
    std::optional<time_point> m_heardOldView;
    std::optional<time_point> m_learnt;
    size_t m_failuresInARow = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
