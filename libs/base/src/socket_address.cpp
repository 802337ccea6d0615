#include <base/socket_address.h>

#include <arpa/inet.h>
#include <array>

namespace pollen {

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

endpoint toEndpoint(const socket_address& from)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (from.storage.ss_family == AF_INET) {
        const auto* v4 = reinterpret_cast<const sockaddr_in*>(&from.storage);
        inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        return { text.data(), ntohs(v4->sin_port) };
    }
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&from.storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(v6->sin6_port) };
}

} // namespace pollen
