#pragma once

#include <base/backoff.h>
#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <functional>
#include <http/event_loop.h>
#include <map>
#include <peer/peer_node.h>
#include <platform/record_log.h>
#include <unordered_map>

namespace pollen {

// Log stream that stores bills.
constexpr const char* billStream = "bills";

// JSON text of a bill, as stored in the log.
std::string encodeBill(const bill& bill);

// Throws record_error.
bill decodeBill(const std::string& text);

// Appends bills to the log in batches. Until a bill is appended, a peer in another failure domain holds a copy, which
// the peer appends itself if this daemon crashes. Duplicate records have the same id and must be counted once.
class bill_ledger final : public fleet_system, public bill_message_handler {
public:
    bill_ledger(event_loop& loop, peer_node& node, peer_table& peers, record_log& log, random_source& random,
        const clock& clock, logger& logger);
    ~bill_ledger() override;

    // Queues a bill for the log. Calls onReplicationDone once a peer holds a copy, immediately if there is no peer, or
    // after the last copy attempt has timed out. May call it before returning.
    void record(const bill& bill, std::function<void()> onReplicationDone);

    // True when the outbox has reached its limit, which happens during a long outage of the log.
    bool isFull() const;
    // True when every queued bill has been appended to the log.
    bool isFlushed() const { return m_outbox.empty(); }

    size_t pendingBills() const { return m_outbox.size(); }
    // Number of copies held for peers.
    size_t heldBills() const { return m_held.size(); }
    // Number of bills for which no peer confirmed a copy.
    uint64_t unreplicatedBills() const { return m_unreplicatedBills; }

    void tick(time_point now) override;
    void onBillCopy(const instance_id& from, uint64_t incarnation, const endpoint& address, const bill& copy) override;
    void onBillCopyAck(const std::string& billId) override;
    void onBillsSettled(const std::vector<std::string>& billIds) override;

private:
    struct outgoing_bill {
        bill content;
        // The log record. Encoded when the bill is queued, so that a flush does not block the event loop by encoding a
        // whole batch.
        std::string encoded;
        // Peer that was last asked to hold a copy; empty if there was none.
        instance_id holder;
    };
    struct pending_copy {
        std::function<void()> onReplicationDone;
        time_point nextAttempt;
        size_t attempts = 0;
    };
    struct held_bill {
        bill content;
        instance_id origin;
        uint64_t incarnation = 0;
    };

    void sendCopy(const std::string& billId, pending_copy& pending);
    void retryCopies();
    void adoptFromCrashedPeers(time_point now);
    void flush();
    void onAppended(const std::vector<std::string>& billIds, const append_result& result);
    void completeBills(const std::vector<std::string>& billIds);

    peer_node& m_node;
    peer_table& m_peers;
    record_log& m_log;
    const clock& m_clock;
    logger& m_logger;
    timer m_copyTimer;
    backoff m_backoff;
    std::map<std::string, outgoing_bill> m_outbox;
    std::unordered_map<std::string, pending_copy> m_pendingCopies;
    std::unordered_map<std::string, held_bill> m_held;
    time_point m_nextFlush {};
    bool m_appending = false;
    uint64_t m_unreplicatedBills = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
