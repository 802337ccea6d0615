#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

// Sockets of the stand-ins that run as processes of their own.
namespace review {

inline sockaddr_in socketAddress(const std::string& address, int port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

// Returns -1 if the address cannot be listened on.
inline int listenOn(const std::string& address, int port, int backlog)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in own = socketAddress(address, port);
    const bool listens = ::bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0
        && ::listen(listener, backlog) == 0;
    return listens ? listener : -1;
}

// Begins to connect, with a small receive buffer.
inline int beginToConnect(const std::string& address, int port)
{
    constexpr int receiveBufferBytes = 16 << 10;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const sockaddr_in server = socketAddress(address, port);
    // The result shows when the socket is written to.
    static_cast<void>(::connect(socket, reinterpret_cast<const sockaddr*>(&server), sizeof server));
    return socket;
}

} // namespace review
