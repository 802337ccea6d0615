#pragma once

#include <http/http_client.h>
#include <memory>
#include <platform/instance_directory.h>

namespace pollen {

// The instance list over HTTP as docs/INTERFACES.md describes it.
class http_instance_directory final : public instance_directory {
public:
    http_instance_directory(http_client& client, const endpoint& server);

    void list(list_callback callback) override;

private:
    http_client& m_client;
    endpoint m_server;
    // Tag of the last list given, so that an unchanged one is not sent again.
    std::shared_ptr<std::string> m_tag;
};

} // namespace pollen
