#include <peer/peer_node.h>

#include <algorithm>

namespace pollen {

namespace {

// Maximum number of peers that one round of heartbeats is sent to.
constexpr size_t maximumHeartbeatsPerRound = 16;

} // namespace

peer_node::peer_node(identity identity, peer_transport& transport, peer_table& table, const clock& clock,
    random_source& random, logger& logger)
    : m_identity(std::move(identity))
    , m_transport(transport)
    , m_table(table)
    , m_clock(clock)
    , m_random(random)
    , m_logger(logger)
{
    m_transport.setReceiver([this](const endpoint& from, std::string_view datagram) { receive(from, datagram); });
}

void peer_node::sendHeartbeats()
{
    std::vector<endpoint> targets;
    for (const auto& [id, row] : m_table.rows())
        targets.push_back(row.listed.address);
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(targets.size(), maximumHeartbeatsPerRound));
    const heartbeat_message heartbeat { m_identity.failureDomain, m_status.configurationVersion, m_status.draining,
        m_status.openRequests };
    for (const endpoint& target : targets)
        send(target, heartbeat);
}

void peer_node::send(const endpoint& to, peer_payload payload)
{
    const peer_message message { m_identity.id, m_identity.incarnation, std::move(payload) };
    const std::string datagram = encodeDatagram(message, m_identity.secret);
    m_sentBytes += datagram.size();
    m_transport.send(to, datagram);
}

void peer_node::receive(const endpoint& from, std::string_view datagram)
{
    try {
        dispatch(from, decodeDatagram(datagram, m_identity.secret));
    } catch (const datagram_error& problem) {
        ++m_droppedDatagrams;
        m_logger.write(log_level::Debug, "datagram_dropped", { { "from", from.text() }, { "reason", problem.what() } });
    }
}

void peer_node::dispatch(const endpoint& from, const peer_message& message)
{
    if (message.sender == m_identity.id)
        return;
    if (const auto* heartbeat = std::get_if<heartbeat_message>(&message.payload)) {
        m_table.applyHeartbeat({ message.sender, message.incarnation, heartbeat->failureDomain, from,
                                   heartbeat->draining, heartbeat->configurationVersion },
            m_clock.now());
        return;
    }
    if (!m_billHandler)
        return;
    if (const auto* copy = std::get_if<bill_copy_message>(&message.payload))
        m_billHandler->onBillCopy(message.sender, message.incarnation, from, copy->copy);
    else if (const auto* ack = std::get_if<bill_copy_ack_message>(&message.payload))
        m_billHandler->onBillCopyAck(ack->billId);
    else if (const auto* settled = std::get_if<bills_settled_message>(&message.payload))
        m_billHandler->onBillsSettled(settled->billIds);
}

} // namespace pollen
