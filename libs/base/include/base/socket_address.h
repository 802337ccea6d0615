#pragma once

#include <base/endpoint.h>
#include <sys/socket.h>

namespace pollen {

// An endpoint in the form that the socket calls take.
struct socket_address {
    sockaddr_storage storage {};
    socklen_t length = sizeof(sockaddr_storage);

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

socket_address toSocketAddress(const endpoint& from);

// The inverse; for IPv4 and IPv6 addresses only.
endpoint toEndpoint(const socket_address& from);

} // namespace pollen
