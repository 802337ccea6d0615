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

// Log stream that stores claims.
constexpr const char* claimStream = "claims";

enum class claim_outcome {
    // Only this request may run the call.
    Granted,
    // The call was run before; its recorded answer is passed to the callback.
    Answered,
    // Another request owns the call and has not recorded an answer, so it is unknown whether the call was run.
    OwnedElsewhere,
    // The key was used before with a different method, path or body.
    KeyReused,
    // The claim was refused or not confirmed in time, or another owner released the key. This request must not run the
    // call.
    Unavailable,
};

const char* toText(claim_outcome outcome);

// Ensures that each non-idempotent call runs at most once in the fleet. A claim is appended to the log before the call
// runs, and the first claim of a key wins; all daemons read the claims in the same order.
class claim_ledger final : public fleet_system {
public:
    claim_ledger(event_loop& loop, record_log& log, peer_node& node, peer_table& peers, random_source& random,
        const clock& clock, logger& logger);

    void start() { m_follower.start(); }

    // Claims the call for the request. The callback is called once, possibly before this function returns. Its answer
    // is set only for Answered and is valid only during the callback.
    using callback = std::function<void(claim_outcome, const recorded_answer*)>;
    void claim(const std::string& key, const std::string& fingerprint, const request_id& request, callback callback);

    // Drops the callback of a caller that has disconnected. A claim still being appended is released once it is read
    // back.
    void cancel(const request_id& request);

    // Records the answer to a granted call.
    void recordAnswer(const std::string& key, const request_id& request, recorded_answer answer);
    // Releases a granted call that was definitely not run and will not be run.
    void release(const std::string& key, const request_id& request);

    // True when no record is queued or being appended.
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
        // True when another request owns the key and may still record an answer; false while the outcome of this
        // request's own claim is unknown.
        bool ownedElsewhere = false;
    };

    void onRecord(const log_record& record);
    void resolveWaiters(const std::string& key);
    // Calls the waiter's callback if its outcome is known; returns whether it did.
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
    // Requests that were cancelled or timed out before their claim was read back; the claims are released on arrival.
    std::set<request_id> m_abandoned;
    std::vector<claim_record> m_queue;
    bool m_appending = false;
    time_point m_nextFlush {};
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
