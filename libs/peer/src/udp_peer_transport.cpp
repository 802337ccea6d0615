#include <peer/udp_peer_transport.h>

#include <array>
#include <base/error.h>
#include <base/socket_address.h>
#include <cerrno>
#include <event2/event.h>
#include <peer/peer_message.h>
#include <unistd.h>

namespace pollen {

namespace {

// Datagrams read in one event loop iteration, so that a flood of them does not delay requests.
constexpr int maximumDatagramsPerTurn = 64;

} // namespace

udp_peer_transport::udp_peer_transport(event_loop& loop, const endpoint& listenAddress)
{
    socket_address address = toSocketAddress(listenAddress);
    m_socket = ::socket(address.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
        throw system_error("socket", errno);
    if (::bind(m_socket, address.get(), address.length) != 0) {
        const int problem = errno;
        ::close(m_socket);
        throw system_error("cannot listen for peers on " + listenAddress.text(), problem);
    }
    address.length = sizeof address.storage;
    getsockname(m_socket, address.get(), &address.length);
    m_address = toEndpoint(address);
    const auto onReadable
        = [](evutil_socket_t, short, void* self) { static_cast<udp_peer_transport*>(self)->receiveAll(); };
    m_event = event_new(loop.base(), m_socket, EV_READ | EV_PERSIST, onReadable, this);
    event_add(m_event, nullptr);
}

udp_peer_transport::~udp_peer_transport()
{
    event_free(m_event);
    ::close(m_socket);
}

void udp_peer_transport::send(const endpoint& to, const std::string& datagram)
{
    socket_address address = toSocketAddress(to);
    // A full buffer or an unreachable peer drops the datagram, as the network may.
    ::sendto(m_socket, datagram.data(), datagram.size(), 0, address.get(), address.length);
}

void udp_peer_transport::receiveAll()
{
    std::array<char, maximumDatagramBytes + 1> buffer;
    for (int i = 0; i < maximumDatagramsPerTurn; ++i) {
        socket_address address;
        const ssize_t length = ::recvfrom(m_socket, buffer.data(), buffer.size(), 0, address.get(), &address.length);
        if (length < 0)
            return;
        if (m_receiver)
            m_receiver(toEndpoint(address), { buffer.data(), static_cast<size_t>(length) });
    }
}

} // namespace pollen
