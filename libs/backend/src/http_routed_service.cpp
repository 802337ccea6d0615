#include <backend/http_routed_service.h>

#include "failure_mapping.h"

namespace pollen {

namespace {

constexpr size_t maximumAnswerBytes = 4U << 20;

// Header and value by which a service reports that it refused a call without running it.
constexpr std::string_view runHeader = "X-Run";
constexpr std::string_view notRun = "not_run";

class http_service_handle final : public service_handle, private exchange_listener {
public:
    http_service_handle(http_client& client, const endpoint& server, const service_call& call, duration connectTimeout,
        routed_service::callback callback)
        : m_id(call.id.text())
        , m_callback(std::move(callback))
    {
        http_request message { call.method, call.target, { { "X-Request-Id", m_id } }, call.body };
        if (!call.contentType.empty())
            message.headers.emplace_back("Content-Type", call.contentType);
        if (!call.idempotencyKey.empty())
            message.headers.emplace_back("Idempotency-Key", call.idempotencyKey);
        exchange_options options;
        options.timeout = call.timeout;
        options.connectTimeout = connectTimeout;
        options.freshConnection = call.nonRepeatable;
        options.repeatable = !call.nonRepeatable;
        options.maximumBodyBytes = maximumAnswerBytes;
        m_exchange = client.start(server, std::move(message), options, *this);
    }

private:
    void onHead(int status, const http_headers& headers) override
    {
        m_answer.status = status;
        m_answer.contentType = findHeader(headers, "Content-Type");
        m_idMismatch = findHeader(headers, "X-Request-Id") != m_id;
        if (m_idMismatch)
            m_exchange->closeWhenFinished();
        m_refused = findHeader(headers, runHeader) == notRun;
    }

    void onData(std::string_view bytes) override { m_answer.body += bytes; }

    void onFinished(const exchange_result& result) override
    {
        const auto callback = std::exchange(m_callback, nullptr);
        if (result.responseStarted && m_idMismatch)
            callback(nullptr, backend_failure::RequestIdMismatch);
        else if (!result.ok())
            callback(nullptr, toBackendFailure(result));
        else if (m_refused)
            callback(nullptr, toRefusalFailure(result));
        else
            callback(&m_answer, std::nullopt);
    }

    std::string m_id;
    routed_service::callback m_callback;
    std::unique_ptr<exchange> m_exchange;
    service_answer m_answer;
    bool m_idMismatch = false;
    bool m_refused = false;
};

} // namespace

http_routed_service::http_routed_service(http_client& client, duration connectTimeout)
    : m_client(client)
    , m_connectTimeout(connectTimeout)
{
}

std::unique_ptr<service_handle> http_routed_service::call(
    const endpoint& server, const service_call& call, callback callback)
{
    return std::make_unique<http_service_handle>(m_client, server, call, m_connectTimeout, std::move(callback));
}

} // namespace pollen
