#pragma once

#include <backend/routed_service.h>
#include <http/http_client.h>

namespace pollen {

// Client of a routed service over HTTP; docs/INTERFACES.md has the protocol.
class http_routed_service final : public routed_service {
public:
    http_routed_service(http_client& client, duration connectTimeout);

    std::unique_ptr<service_handle> call(const endpoint& server, const service_call& call, callback callback) override;

private:
    http_client& m_client;
    duration m_connectTimeout;
};

} // namespace pollen
