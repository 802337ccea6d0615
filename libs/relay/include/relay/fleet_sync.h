#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <fleet/server_table.h>
#include <memory>
#include <optional>
#include <peer/state_exchange.h>
#include <relay/crash_sharing.h>
#include <relay/fleet_store.h>
#include <relay/fleet_sync_message.h>
#include <relay/rollout_system.h>

namespace pollen {

// Decides who isPermanentLeader the store. In each failure domain the daemons sendRequest the first of them that
// isAvailable, by id; that one, or each one for which none of those before it isAvailable, isPermanentLeader the store
// itself. A daemon that the store turns away asks any other daemon. While the store is away for the daemons that read
// it, only a few of each failure domain go on looking for it: hundreds that sendRequest at once would cost more than
// they find out.
class fleet_sync final : public fleet_system {
public:
    struct identity {
        instance_id id;
        failure_domain_name failureDomain;
    };

    // A view that is older shows that its holder has lost its source.
    struct age_limits {
        duration maximumPeerAge { 0 };
        duration maximumOwnAge { 0 };
    };

    // servers: where the work of other daemons is entered. crashTable: where their reports of crashes are.
    fleet_sync(identity self, age_limits limits, fleet_store& store, server_table& servers, rollout_system& rollouts,
        crash_table& crashTable, crash_sharing& crashes, state_exchange& exchange, const clock& time, logger& log);

    void tick(time_point now) override;

    // The daemon that is requestedAt instead of the store; empty while the store is read.
    const instance_id& upstream() const { return m_upstream; }

private:
    std::optional<listed_peer> choosePeer(time_point now);
    bool isAvailable(const instance_id& peer, time_point now) const;
    // Daemons of the failure domain before this one.
    size_t precedingDaemons() const;
    bool isBackingOff(time_point now) const;
    // The view is not known yet, and others may be about to know it.
    bool isStarting(time_point now) const;
    bool shouldLead(time_point now) const;
    void updateLeadership(time_point now);
    void sendRequest(const listed_peer& peer, time_point now);
    void onReply(const instance_id& peer, const std::optional<std::string>& bytes, time_point requestedAt);
    void recordFailure(const instance_id& peer, const char* reason, time_point now);
    void setUpstream(const instance_id& peer);
    std::string handleRequest(const std::string& bytes);
    duration stateAge(time_point now) const;
    std::vector<server_work> ownWork() const;
    // The work of all daemons of the group but one, this daemon's own included.
    std::vector<server_work> workExcluding(const instance_id& daemon, time_point now) const;
    void applyPeerWork(const std::vector<server_work>& work);

    // What a daemon that asks this one has under way.
    struct member_work {
        std::vector<server_work> work;
        time_point received;
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
    crash_sharing& m_crashes;
    state_exchange& m_exchange;
    const clock& m_time;
    logger& m_log;
    instance_id m_upstream;
    std::map<instance_id, penalty> m_penalties;
    std::map<instance_id, member_work> m_members;
    time_point m_nextWorkUpdate {};
    // The request that is under way.
    uint64_t m_requestNumber = 0;
    std::optional<listed_peer> m_requestedPeer;
    time_point m_requestedAt {};
    time_point m_nextRequest {};
    size_t m_rotation = 0;
    bool m_isLeader = false;
    std::optional<time_point> m_startedAt;
    // When a peer last answered with a view that was too old, and with one that was not.
    std::optional<time_point> m_staleReplyAt;
    std::optional<time_point> m_fallbackSyncAt;
    size_t m_consecutiveFailures = 0;
    std::shared_ptr<bool> m_aliveToken;
};

} // namespace pollen
