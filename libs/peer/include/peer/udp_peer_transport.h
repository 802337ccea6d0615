#pragma once

#include <http/event_loop.h>
#include <peer/peer_transport.h>

namespace pollen {

// Sends and receives datagrams over UDP on the daemon's event loop.
class udp_peer_transport final : public peer_transport {
public:
    // Throws system_error when the address cannot be used.
    udp_peer_transport(event_loop& loop, const endpoint& listenAddress);
    ~udp_peer_transport() override;
    udp_peer_transport(const udp_peer_transport&) = delete;
    udp_peer_transport& operator=(const udp_peer_transport&) = delete;

    void send(const endpoint& to, const std::string& datagram) override;
    void setReceiver(receiver receiver) override { m_receiver = std::move(receiver); }

    // The bound address, with the actual port.
    const endpoint& address() const { return m_address; }

private:
    void receiveAll();

    endpoint m_address;
    int m_socket = -1;
    event* m_event = nullptr;
    receiver m_receiver;
};

} // namespace pollen
