#pragma once

#include <base/clock.h>
#include <base/logger.h>
#include <base/random_source.h>
#include <peer/peer_message.h>
#include <peer/peer_table.h>
#include <peer/peer_transport.h>

namespace pollen {

// Handles messages about bills; see bill_ledger.
class bill_message_handler {
public:
    virtual ~bill_message_handler() = default;
    virtual void onBillCopy(const instance_id& from, uint64_t incarnation, const endpoint& address, const bill& copy)
        = 0;
    virtual void onBillCopyAck(const std::string& billId) = 0;
    virtual void onBillsSettled(const std::vector<std::string>& billIds) = 0;
};

// This daemon's endpoint in the peer network: sends heartbeats, maintains the peer table and dispatches other messages.
class peer_node {
public:
    struct identity {
        instance_id id;
        failure_domain_name failureDomain;
        uint64_t incarnation = 0;
        std::string secret;
    };

    // The state sent with heartbeats.
    struct status {
        log_offset configurationVersion = 0;
        bool draining = false;
        uint32_t openRequests = 0;
    };

    peer_node(identity identity, peer_transport& transport, peer_table& table, const clock& clock,
        random_source& random, logger& logger);

    void setBillHandler(bill_message_handler* handler) { m_billHandler = handler; }
    void setStatus(const status& status) { m_status = status; }

    // Sends one heartbeat to each peer, or to a random subset in a large fleet.
    void sendHeartbeats();
    void send(const endpoint& to, peer_payload payload);

    const identity& self() const { return m_identity; }
    uint64_t droppedDatagrams() const { return m_droppedDatagrams; }
    // Total bytes passed to the transport.
    uint64_t sentBytes() const { return m_sentBytes; }

private:
    void receive(const endpoint& from, std::string_view datagram);
    void dispatch(const endpoint& from, const peer_message& message);

    identity m_identity;
    peer_transport& m_transport;
    peer_table& m_table;
    const clock& m_clock;
    random_source& m_random;
    logger& m_logger;
    bill_message_handler* m_billHandler = nullptr;
    status m_status;
    uint64_t m_droppedDatagrams = 0;
    uint64_t m_sentBytes = 0;
};

} // namespace pollen
