#include <backend/http_model_engine.h>

#include "event_stream_parser.h"
#include "failure_mapping.h"

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;
constexpr int statusUnavailable = 503;
constexpr duration loadTimeout = std::chrono::seconds(1);
constexpr size_t maximumErrorBytes = 4096;
// Limit for an answer that is not streamed, which is buffered as a whole.
constexpr size_t maximumAnswerBytes = 4U << 20;

// Returns the body to send: the model is set to the chosen version, and streams are asked to report usage in the last
// event.
std::string engineBody(const engine_request& request)
{
    nlohmann::json json = *request.body;
    json["model"] = request.version.text();
    if (request.streaming)
        json["stream_options"] = { { "include_usage", true } };
    return json.dump();
}

class http_engine_call final : public engine_call, private exchange_listener {
public:
    http_engine_call(http_client& client, const endpoint& server, const engine_request& request,
        duration connectTimeout, engine_listener& listener)
        : m_id(request.id.text())
        , m_streaming(request.streaming)
        , m_listener(listener)
    {
        http_request message { "POST", "/v1/chat/completions", {}, engineBody(request) };
        message.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", m_id },
            { "X-Priority", std::to_string(request.priority) } };
        exchange_options options;
        options.timeout = request.timeout;
        options.connectTimeout = connectTimeout;
        options.repeatable = true;
        if (!m_streaming)
            options.maximumBodyBytes = maximumAnswerBytes;
        m_exchange = client.start(server, std::move(message), options, *this);
    }

    void pause() override { m_exchange->pauseReading(); }
    void resume() override { m_exchange->resumeReading(); }

private:
    void onHead(int status, const http_headers& headers) override
    {
        m_status = status;
        m_idMismatch = findHeader(headers, "X-Request-Id") != m_id;
        if (m_idMismatch)
            m_exchange->closeWhenFinished();
    }

    void onData(std::string_view bytes) override
    {
        if (m_status != statusOk || m_idMismatch) {
            if (m_errorBody.size() + bytes.size() <= maximumErrorBytes)
                m_errorBody += bytes;
            return;
        }
        if (!m_streaming) {
            m_body += bytes;
            return;
        }
        const std::string_view lines = m_events.read(bytes);
        if (!lines.empty())
            m_listener.onBytes(lines);
    }

    void onFinished(const exchange_result& result) override
    {
        if (const auto failure = findFailure(result)) {
            m_listener.onFailed(*failure, m_errorBody);
            return;
        }
        if (m_streaming) {
            m_listener.onAnswered(*m_events.usage());
            return;
        }
        const auto usage = parseUsage(m_body);
        if (!usage) {
            m_listener.onFailed(backend_failure::Malformed, "the answer has no valid token usage");
            return;
        }
        m_listener.onBytes(m_body);
        m_listener.onAnswered(*usage);
    }

    std::optional<backend_failure> findFailure(const exchange_result& result) const
    {
        if (result.responseStarted && m_idMismatch)
            return backend_failure::RequestIdMismatch;
        if (!result.ok())
            return toBackendFailure(result);
        if (m_status == statusTooManyRequests || m_status == statusUnavailable)
            return toRefusalFailure(result);
        if (m_status >= statusServerError)
            return backend_failure::ServerError;
        if (m_status != statusOk)
            return backend_failure::Rejected;
        if (m_streaming && (!m_events.done() || !m_events.usage()))
            return backend_failure::Malformed;
        return std::nullopt;
    }

    std::string m_id;
    bool m_streaming;
    engine_listener& m_listener;
    std::unique_ptr<exchange> m_exchange;
    int m_status = 0;
    bool m_idMismatch = false;
    event_stream_parser m_events;
    std::string m_body;
    std::string m_errorBody;
};

std::optional<engine_load> parseLoad(const std::string& body)
{
    try {
        const auto json = nlohmann::json::parse(body);
        engine_load load;
        load.running = json.at("running").get<uint32_t>();
        load.queued = json.at("queued").get<uint32_t>();
        load.leaving = json.value("leaving", false);
        for (const auto& version : json.at("versions"))
            load.versions.push_back(parseVersionRef(version.get<std::string>()));
        return load;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace

http_model_engine::http_model_engine(http_client& client, duration connectTimeout)
    : m_client(client)
    , m_connectTimeout(connectTimeout)
{
}

std::unique_ptr<engine_call> http_model_engine::generate(
    const endpoint& server, const engine_request& request, engine_listener& listener)
{
    return std::make_unique<http_engine_call>(m_client, server, request, m_connectTimeout, listener);
}

void http_model_engine::load(const endpoint& server, load_callback callback)
{
    exchange_options options;
    options.timeout = loadTimeout;
    options.connectTimeout = m_connectTimeout;
    options.repeatable = true;
    const auto onFetched
        = [callback = std::move(callback)](const exchange_result& result, const http_response& response) {
              const bool ok = result.ok() && response.status == statusOk;
              callback(ok ? parseLoad(response.body) : std::nullopt);
          };
    m_client.fetch(server, { "GET", "/load", {}, "" }, options, onFetched);
}

} // namespace pollen
