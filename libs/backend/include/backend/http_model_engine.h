#pragma once

#include <backend/model_engine.h>
#include <http/http_client.h>

namespace pollen {

// Client of a model engine that speaks the chat completions protocol of docs/INTERFACES.md.
class http_model_engine final : public model_engine {
public:
    http_model_engine(http_client& client, duration connectTimeout);

    std::unique_ptr<engine_call> generate(
        const endpoint& server, const engine_request& request, engine_listener& listener) override;
    void load(const endpoint& server, load_callback callback) override;

private:
    http_client& m_client;
    duration m_connectTimeout;
};

} // namespace pollen
