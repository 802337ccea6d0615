#pragma once

#include <http/http_client.h>
#include <platform/rating_service.h>

namespace pollen {

// The rating service over HTTP as docs/INTERFACES.md describes it.
class http_rating_service final : public rating_service {
public:
    http_rating_service(http_client& client, const endpoint& server);

    void submit(const rating_sample& sample) override;
    void ratings(uint64_t from, ratings_callback callback) override;

private:
    http_client& m_client;
    endpoint m_server;
};

} // namespace pollen
