#pragma once

#include <base/logger.h>
#include <http/event_loop.h>
#include <memory>
#include <peer/state_exchange.h>

namespace pollen {

// Exchanges states over TCP, on the same port number as the UDP datagrams.
class tcp_state_exchange final : public state_exchange {
public:
    // Throws system_error when the address cannot be used.
    tcp_state_exchange(event_loop& loop, const endpoint& listenAddress, std::string secret, logger& logger);
    ~tcp_state_exchange() override;
    tcp_state_exchange(const tcp_state_exchange&) = delete;
    tcp_state_exchange& operator=(const tcp_state_exchange&) = delete;

    void fetch(const endpoint& peer, const std::string& request, state_callback callback) override;
    void setSource(state_source source) override;

    // The bound address, with the actual port.
    const endpoint& address() const;

private:
    class connection;
    struct details;
    std::unique_ptr<details> m_details;
};

} // namespace pollen
