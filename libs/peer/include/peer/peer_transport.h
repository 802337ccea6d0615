#pragma once

#include <base/endpoint.h>
#include <functional>
#include <string>
#include <string_view>

namespace pollen {

// Sends and receives datagrams between daemons; they may be lost, duplicated or reordered.
class peer_transport {
public:
    virtual ~peer_transport() = default;

    virtual void send(const endpoint& to, const std::string& datagram) = 0;

    using receiver = std::function<void(const endpoint& from, std::string_view datagram)>;
    virtual void setReceiver(receiver receiver) = 0;
};

// Drops everything, for an instance without peers.
class null_peer_transport final : public peer_transport {
public:
    void send(const endpoint&, const std::string&) override { }
    void setReceiver(receiver) override { }
};

} // namespace pollen
