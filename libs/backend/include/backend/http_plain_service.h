#pragma once

#include <backend/plain_service.h>
#include <http/http_client.h>

namespace pollen {

// A plain service over HTTP as docs/INTERFACES.md describes it.
class http_plain_service final : public plain_service {
public:
    http_plain_service(http_client& client, duration connectTimeout);

    std::unique_ptr<service_handle> call(const endpoint& server, const service_call& call, callback callback) override;

private:
    http_client& m_client;
    duration m_connectTimeout;
};

} // namespace pollen
