#pragma once

#include <base/logger.h>
#include <base/random_source.h>
#include <fleet/fleet_system.h>
#include <fleet/server_table.h>
#include <memory>
#include <optional>
#include <peer/state_exchange.h>
#include <relay/crash_publisher.h>
#include <relay/fleet_store.h>
#include <relay/fleet_sync_message.h>
#include <relay/rollout_system.h>
#include <relay/sync_load.h>
#include <scheduling/group_work.h>
#include <scheduling/work_view.h>

namespace pollen {

// Keeps the fleet state up to date and elects the leaders, the daemons that read the store. In each failure domain a
// daemon queries the first available daemon before it by id; a daemon with no available predecessor leads and reads the
// store itself.
//
// No daemon relies on a single other one for longer than a reply timeout:
// - The leaders compare their states, because a read of the store that is lost without an error shows only when its
//   wait has ended.
// - A leader that cannot read the store says so in its replies and queries other daemons at once. The next daemons of
//   its failure domain, its deputies, then read the store themselves, and the others query these.
// - When a reply is late, another daemon is queried as well.
// Large changes are not sent to the members of a group, whose leader may have a slow link: they read the store once.
//
// While no leader can read the store, only the leaders and their deputies keep polling it: requests from hundreds of
// daemons at once would cost more than they reveal.
class fleet_sync final : public fleet_system {
public:
    struct identity {
        instance_id id;
        failure_domain_name failureDomain;
    };

    struct limits {
        // A fleet state older than these limits shows that its holder has lost its source.
        duration maximumPeerAge { 0 };
        duration maximumOwnAge { 0 };
        // The same for the entries of backend servers, whoever holds them.
        duration maximumServerAge { 0 };
        // Interval at which a leader that reads the store compares its state with that of another leader.
        duration comparisonInterval { 0 };
    };

    // servers: receives the pending work of other daemons. crashTable: receives their crash reports. rateLimits:
    // receives the rate limits that they know.
    fleet_sync(identity self, const limits& limits, fleet_store& store, server_table& servers, rollout_system& rollouts,
        crash_table& crashTable, crash_publisher& crashes, server_rate_limits& rateLimits, state_exchange& exchange,
        random_source& random, const clock& time, logger& log);

    void tick(time_point now) override;

    // The daemon that is queried instead of the store; empty while the store is read.
    const instance_id& upstream() const { return m_upstream; }

private:
    struct penalty {
        time_point until;
        uint32_t failures = 0;
    };

    struct pending_request {
        uint64_t number = 0;
        listed_peer peer;
        time_point sentAt;
        // See fleet_sync_request.
        bool isMember = false;
        bool acceptsLarge = false;
        std::vector<server_work> work;

        duration timeout() const;
    };

    std::optional<listed_peer> choosePeer(time_point now) const;
    std::optional<listed_peer> choosePredecessor(time_point now) const;
    std::optional<listed_peer> chooseOtherLeader(time_point now) const;
    std::optional<listed_peer> chooseSubstitute(time_point now) const;
    // The predecessor or substitute that is queried beside one whose reply is late.
    std::optional<listed_peer> chooseHedge(time_point now) const;
    // The element after the one that was queried last.
    std::optional<listed_peer> rotate(const std::vector<const listed_peer*>& peers) const;
    bool isAvailable(const instance_id& peer, time_point now) const;
    bool isPending(const instance_id& peer) const;
    // The peer has reported that it cannot read the store.
    bool hasLostStore(const instance_id& peer, time_point now) const;
    // Whether this daemon, or the one that it queries, cannot read the store.
    bool hasLostStore(time_point now) const;
    // Whether this leader reads the configuration and the entries of servers, and the entries are young enough.
    bool readsStore(time_point now) const;
    // This leader's state may be outdated although it leads.
    bool needsSubstitute(time_point now) const;
    // Number of daemons of the failure domain with a lower id.
    size_t precedingDaemons() const;
    bool isBackingOff(time_point now) const;
    // The fleet state is not known yet, and a preceding daemon may be about to receive it.
    bool isStarting(time_point now) const;
    // Whether a starting daemon has asked enough daemons in vain.
    bool hasAskedOthers() const;
    bool shouldLead(time_point now) const;
    void updateLeadership(time_point now);
    void noticeStoreLoss(time_point now);
    // Changes that were omitted are not to be had from the store.
    bool needsLargeChanges(time_point now) const;
    // Reads from the store what the reply omits.
    void readOmitted(const fleet_sync_reply& reply, time_point now);
    void sendRequest(const listed_peer& peer, bool isMember, time_point now);
    void dropSilentRequests(time_point now);
    void onReply(uint64_t number, const std::optional<std::string>& bytes);
    void applyReply(const pending_request& request, const fleet_sync_reply& reply, time_point now);
    void scheduleRequest(const pending_request& request, const fleet_sync_reply& reply, time_point now);
    void recordFailure(const pending_request& request, const char* reason, time_point now);
    void setUpstream(const instance_id& peer);
    std::string handleRequest(const std::string& bytes);
    duration stateAge(time_point now) const;
    // Logs what the requests of others have cost since the last call, and when a topic becomes too old or is current
    // again.
    void reportLoad(time_point now);
    void reportAges(time_point now);
    std::vector<server_work> ownWork() const;
    // This daemon's crash reports for another one that knows them as far as the state says.
    crash_changes crashesFor(const crash_state& known, crash_table::reporters from) const;
    void mergeCrashes(const crash_changes& changes);
    // Reports this daemon's own pending work to its group; a leader learns that of the members.
    void updateWork(time_point now);
    // own: what this daemon had reported when the change was made.
    void applyWork(const work_change& change, const std::vector<server_work>& own);

    identity m_self;
    limits m_limits;
    fleet_store& m_store;
    server_table& m_servers;
    rollout_system& m_rollouts;
    crash_table& m_crashTable;
    crash_publisher& m_crashes;
    server_rate_limits& m_rateLimits;
    state_exchange& m_exchange;
    const clock& m_time;
    logger& m_log;
    instance_id m_upstream;
    std::map<instance_id, penalty> m_penalties;
    // Daemons that cannot read the store, and when they last said so.
    std::map<instance_id, time_point> m_storeLosses;
    // Random; tells other daemons whether they still speak to the same process.
    uint64_t m_process;
    // How far each daemon that is queried knows this daemon's crash reports, and the reverse.
    struct crash_exchange {
        crash_state knownByPeer;
        crash_table::reporters sent = crash_table::reporters::Self;
        crash_state knownHere;
    };
    std::map<instance_id, crash_exchange> m_crashExchanges;
    // Pending work of the daemons that query this one, and its own.
    group_work m_groupWork;
    // Pending work of the group that this daemon belongs to.
    work_view m_work;
    time_point m_nextWorkUpdate {};
    uint64_t m_requestNumber = 0;
    // The request in progress and, if its reply is late, one to another daemon.
    std::vector<pending_request> m_pending;
    time_point m_nextRequest {};
    time_point m_nextComparison {};
    time_point m_nextHedge {};
    instance_id m_lastQueried;
    bool m_isLeader = false;
    bool m_couldReadStore = true;
    bool m_didReadStore = true;
    std::optional<time_point> m_startedAt;
    // Last reply with an incomplete or too old fleet state.
    std::optional<time_point> m_staleReplyAt;
    // Last sync with a daemon other than the upstream, done because the store could not be reached.
    std::optional<time_point> m_fallbackSyncAt;
    // Topics of which changes have been omitted, and since when.
    std::map<size_t, time_point> m_omittedSince;
    size_t m_consecutiveFailures = 0;
    sync_load m_load;
    time_point m_nextLoadReport {};
    // Topics that are older than a daemon accepts from others.
    std::set<size_t> m_outdatedTopics;
    std::shared_ptr<bool> m_aliveToken;
};

} // namespace pollen
