#include <peer/udp_peer_transport.h>

#include <arpa/inet.h>
#include <array>
#include <base/error.h>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <peer/peer_message.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

// Datagrams read in one turn of the loop, so that a flood of them does not hold up requests.
constexpr int maximumDatagramsPerTurn = 64;

struct socket_address {
    sockaddr_storage storage {};
    socklen_t length = 0;

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

socket_address toSocketAddress(const endpoint& from)
{
    socket_address result;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
    if (inet_pton(AF_INET, from.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(from.port);
        result.length = sizeof *v4;
        return result;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
    inet_pton(AF_INET6, from.address.c_str(), &v6->sin6_addr);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(from.port);
    result.length = sizeof *v6;
    return result;
}

endpoint toEndpoint(socket_address& from)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (from.storage.ss_family == AF_INET) {
        const auto* v4 = reinterpret_cast<sockaddr_in*>(&from.storage);
        inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        return { text.data(), ntohs(v4->sin_port) };
    }
    const auto* v6 = reinterpret_cast<sockaddr_in6*>(&from.storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(v6->sin6_port) };
}

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
    // A full buffer or an unreachable peer loses the datagram, as the network may.
    ::sendto(m_socket, datagram.data(), datagram.size(), 0, address.get(), address.length);
}

void udp_peer_transport::receiveAll()
{
    std::array<char, maximumDatagramBytes + 1> buffer;
    for (int i = 0; i < maximumDatagramsPerTurn; ++i) {
        socket_address address;
        address.length = sizeof address.storage;
        const ssize_t length = ::recvfrom(m_socket, buffer.data(), buffer.size(), 0, address.get(), &address.length);
        if (length < 0)
            return;
        if (m_receiver)
            m_receiver(toEndpoint(address), { buffer.data(), static_cast<size_t>(length) });
    }
}

} // namespace pollen
