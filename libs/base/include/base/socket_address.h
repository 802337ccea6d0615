#pragma once

#include <base/endpoint.h>
#include <sys/socket.h>

namespace pollen {

// An endpoint as a sockaddr, the form that the socket API takes.
struct socket_address {
    sockaddr_storage storage {};
    socklen_t length = sizeof(sockaddr_storage);

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

socket_address toSocketAddress(const endpoint& from);

// Inverse of toSocketAddress(). The address must be IPv4 or IPv6.
endpoint toEndpoint(const socket_address& from);

} // namespace pollen
