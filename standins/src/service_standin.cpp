#include <standins/service_standin.h>

namespace pollen {

service_standin::service_standin(event_loop& loop, const endpoint& listenAddress, std::string id)
    : standin(loop, listenAddress)
    , m_id(std::move(id))
{
}

void service_standin::set(const std::string& name, int64_t value) { m_settings[name] = value; }

void service_standin::handle(const std::shared_ptr<server_request>& request)
{
    const http_request& message = request->request();
    if (m_settings["refuse"] > 0) {
        --m_settings["refuse"];
        replyJson(*request, 503, { { "error", "busy" } },
            { { "X-Run", "not_run" }, { "X-Request-Id", std::string(findHeader(message.headers, "X-Request-Id")) } });
        return;
    }
    m_calls.push_back({ { "server", m_id }, { "request", findHeader(message.headers, "X-Request-Id") },
        { "key", findHeader(message.headers, "Idempotency-Key") }, { "method", message.method },
        { "target", message.target }, { "body", message.body } });
    const size_t number = m_calls.size();
    const int64_t delay = m_settings["delay_ms"];
    if (delay == 0) {
        answer(*request, number);
        return;
    }
    // A timer lives until its answer is out; the loop then frees it.
    auto holder = std::make_shared<std::unique_ptr<timer>>();
    *holder = std::make_unique<timer>(m_loop, [this, request, number, holder] {
        answer(*request, number);
        m_loop.post([holder] { holder->reset(); });
    });
    (*holder)->startOnce(std::chrono::milliseconds(delay));
}

void service_standin::answer(server_request& request, size_t number)
{
    std::string id(findHeader(request.request().headers, "X-Request-Id"));
    if (m_settings["lose_answers"] > 0 && request.request().method == "POST") {
        --m_settings["lose_answers"];
        request.abort();
        return;
    }
    if (m_settings["cross"] > 0) {
        --m_settings["cross"];
        id += "-other";
    }
    const nlohmann::json body { { "server", m_id }, { "number", number }, { "echo", request.request().body } };
    replyJson(request, 200, body, { { "X-Request-Id", id } });
}

} // namespace pollen
