#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <functional>
#include <map>
#include <memory>
#include <peer/state_exchange.h>
#include <relay/fleet_store.h>
#include <relay/permit_message.h>
#include <scheduling/permit_allocator.h>
#include <set>

namespace pollen {

// Obtains permits to send requests to servers that have named a rate limit. In each failure domain the first daemon by
// id allocates the domain's share of the limits; the next one takes its place while it does not answer. A daemon
// allocates only the parts of those daemons of the domain that take their permits from it, so that several allocators
// at a time, which slow daemons and partitions make unavoidable, do not add up to more than the share. Where the own
// domain has no permit left, one of another domain is asked for. Works without the store.
class permit_system final : public fleet_system {
public:
    struct identity {
        instance_id id;
        failure_domain_name failureDomain;
    };

    permit_system(identity self, fleet_store& store, server_rate_limits& limits, state_exchange& exchange,
        const clock& time, logger& log);

    void tick(time_point now) override;

    // Asks for a permit for one of the servers, in the order of preference. The callback is called once, possibly from
    // within this function; a granted permit must be used then, as it is not valid later.
    using permit_callback = std::function<void(const permit_decision&)>;
    void request(const std::vector<instance_id>& servers, permit_callback callback);

private:
    // A request for a permit in progress.
    struct waiting_request {
        std::vector<instance_id> servers;
        permit_callback callback;
        time_point startedAt;
        std::set<failure_domain_name> askedDomains;
        duration shortestWait { 0 };
    };
    // A message to another daemon that has not been answered.
    struct sent_message {
        listed_peer peer;
        time_point sentAt;
        std::vector<instance_id> servers;
        // The waiting request; none for a check whether the daemon answers.
        std::optional<uint64_t> request;
    };
    // A daemon that does not answer.
    struct unavailability {
        time_point since;
        time_point nextCheck;
        // Its process does not run, as against one that is silent.
        bool refused = false;
    };
    // No permit is to be had from the domain before this time.
    using denial_key = std::pair<failure_domain_name, instance_id>;

    void updateDaemons();
    // Called whenever this daemon runs; after a pause it gives up what it allocates and what it has asked for.
    void recordActivity(time_point now);
    // Whether this daemon allocates the permits of its failure domain.
    bool isAllocator() const;
    // Checks daemons that do not answer, and declares to the allocator that this daemon takes its permits from it.
    void checkDaemons(time_point now);
    // Daemons of the own domain that may take permits from another allocator than this one. A daemon that has been
    // silent for more than maximumSilence is not counted.
    size_t countOthers(duration maximumSilence, time_point now) const;
    void updatePart(time_point now);
    void removeOverdue(time_point now);
    // Asks the next domain, or reports that there is no permit.
    void askNext(uint64_t number, time_point now);
    // Servers for which the domain may have a permit.
    std::vector<instance_id> undenied(
        const failure_domain_name& domain, const std::vector<instance_id>& servers, time_point now) const;
    std::vector<failure_domain_name> domainsToAsk(const waiting_request& waiting);
    // The daemon that allocates the domain's permits; none if no daemon of it answers.
    std::optional<listed_peer> allocatorOf(const failure_domain_name& domain) const;
    // A message to the daemon has not been answered yet.
    bool isAsked(const instance_id& peer) const;
    void send(const listed_peer& peer, const std::vector<instance_id>& servers, std::optional<uint64_t> request,
        time_point now);
    void onReply(uint64_t message, const std::optional<std::string>& bytes);
    void onDecision(uint64_t number, const failure_domain_name& domain, const std::vector<instance_id>& servers,
        const permit_decision& decision, time_point now);
    void finish(uint64_t number, const permit_decision& decision);
    void markUnavailable(const listed_peer& peer, bool refused, time_point now);
    std::string handleRequest(const std::string& bytes);

    identity m_self;
    fleet_store& m_store;
    server_rate_limits& m_limits;
    state_exchange& m_exchange;
    const clock& m_time;
    logger& m_log;
    permit_allocator m_allocator;
    // The daemons of each failure domain, by id.
    std::map<failure_domain_name, std::vector<listed_peer>> m_daemons;
    std::map<instance_id, unavailability> m_unavailable;
    // Daemons of the own domain that take permits from this one, and when they last declared it.
    std::map<instance_id, time_point> m_members;
    std::map<denial_key, time_point> m_deniedUntil;
    std::map<uint64_t, waiting_request> m_waiting;
    std::map<uint64_t, sent_message> m_sent;
    uint64_t m_lastNumber = 0;
    size_t m_rotation = 0;
    time_point m_nextUpdate {};
    time_point m_nextCheck {};
    // The last time at which this daemon was certain to be running.
    time_point m_lastActive {};
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
