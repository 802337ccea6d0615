#pragma once

#include <base/logger.h>
#include <control/claim_reducer.h>
#include <fleet/fleet_system.h>
#include <functional>
#include <map>
#include <memory>
#include <peer/peer_node.h>
#include <platform/log_follower.h>
#include <set>

namespace pollen {

// Name of the stream that carries claims.
constexpr const char* claimStream = "claims";

enum class claim_outcome {
    // This request, and no other, may run the call.
    Granted,
    // The call was run before; its answer is given.
    Answered,
    // Another request owns the call and has not recorded an answer: it may or may not have run.
    OwnedElsewhere,
    // The key was used before for a different call.
    KeyReused,
    // The log could not take the claim. This request will not run the call.
    Unavailable,
};

const char* toText(claim_outcome outcome);

// Lets each call that must not be repeated run at most once in the whole fleet: a claim is appended to the log before
// the call runs, and the first claim for a key wins, as every daemon reads it.
class claim_ledger final : public fleet_system {
public:
    claim_ledger(event_loop& loop, record_log& log, peer_node& node, peer_table& peers, random_source& random,
        const clock& clock, logger& logger);

    void start() { m_follower.start(); }

    // Claims the call for the request. The answer is valid during the callback and given only with Answered. The
    // callback is called once, possibly from inside this function.
    using callback = std::function<void(claim_outcome, const recorded_answer*)>;
    void claim(const std::string& key, const std::string& fingerprint, const request_id& request, callback callback);

    // Drops the callback of a caller that went away. A claim on its way is released when it arrives.
    void cancel(const request_id& request);

    // The granted call was answered.
    void recordAnswer(const std::string& key, const request_id& request, recorded_answer answer);
    // The granted call was certainly not run and will not be.
    void release(const std::string& key, const request_id& request);

    // True when all results and releases are in the log.
    bool isFlushed() const { return m_queue.empty() && !m_appending; }
    size_t keyCount() const { return m_reducer.size(); }

    void tick(time_point now) override;

private:
    struct waiter {
        std::string key;
        std::string fingerprint;
        request_id request;
        callback done;
        time_point deadline;
        // False while the claim is still on its way.
        bool ownedElsewhere = false;
    };

    void onRecord(const log_record& record);
    void resolveWaiters(const std::string& key);
    // True when the waiter has been answered.
    bool resolve(waiter& waiter, time_point now);
    bool isOwnerAlive(const claim_entry& entry, time_point now) const;
    void enqueue(claim_record record);
    void flush();
    void onAppended(const std::vector<claim_record>& batch, const append_result& result);
    void finish(const request_id& request, claim_outcome outcome);
    claim_record makeRecord(claim_record_kind kind, const std::string& key, const request_id& request) const;

    record_log& m_log;
    peer_node& m_node;
    peer_table& m_peers;
    const clock& m_clock;
    logger& m_logger;
    claim_reducer m_reducer;
    log_follower m_follower;
    timer m_flushTimer;
    backoff m_backoff;
    std::map<request_id, waiter> m_waiters;
    // Own claims given up while their append was on its way.
    std::set<request_id> m_abandoned;
    std::vector<claim_record> m_queue;
    bool m_appending = false;
    time_point m_nextFlush {};
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
