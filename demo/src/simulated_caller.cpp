#include "simulated_caller.h"

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr size_t maximumTries = 8;
constexpr duration retryDelay = std::chrono::milliseconds(400);
constexpr duration answerTimeout = std::chrono::seconds(40);

std::string wordsOf(size_t count)
{
    std::string text;
    for (size_t i = 0; i < count; ++i)
        text += " brush";
    return text;
}

} // namespace

simulated_caller::simulated_caller(event_loop& loop, http_client& client, balancer& balancer,
    const planned_fleet& fleet, const request_kind& kind, std::string marker, std::shared_ptr<caller_session> session,
    std::function<void()> onDone)
    : m_client(client)
    , m_balancer(balancer)
    , m_fleet(fleet)
    , m_kind(kind)
    , m_session(std::move(session))
    , m_onDone(std::move(onDone))
    , m_retry(loop, [this] { start(); })
{
    m_record.fleet = fleet.name;
    m_record.kind = kind.name;
    m_record.requestClass = kind.requestClass.empty() ? "service" : kind.requestClass;
    m_record.team = kind.team;
    m_record.marker = std::move(marker);
    m_record.isService = kind.requestClass.empty();
    m_record.nonRepeatable = kind.method == "POST";
}

void simulated_caller::start()
{
    if (m_start == time_point {})
        m_start = os_clock().now();
    const auto index = m_balancer.pick(m_lastDaemon);
    if (!index) {
        retryLater();
        return;
    }
    m_lastDaemon = static_cast<int>(*index);
    m_headers.clear();
    m_body.clear();
    m_status = 0;
    exchange_options options;
    options.timeout = answerTimeout;
    options.freshConnection = true;
    m_record.tries.push_back({ m_fleet.daemons[*index].id, 0, "", "", false, 0 });
    m_exchange = m_client.start(m_fleet.daemons[*index].callers, makeRequest(), options, *this);
}

http_request simulated_caller::makeRequest() const
{
    http_request request;
    request.headers = { { "Authorization", "Bearer " + m_kind.team + "-key" }, { "Idempotency-Key", m_record.marker },
        { "Content-Type", "application/json" }, { "Connection", "close" } };
    if (m_record.isService) {
        request.method = m_kind.method;
        request.target = "/services/" + m_kind.path;
        if (m_record.nonRepeatable)
            request.body = m_record.marker;
        return request;
    }
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.emplace_back("X-Pollen-Class", m_kind.requestClass);
    if (m_session)
        request.headers.emplace_back("X-Pollen-Session", m_session->token);
    const std::string prompt = "marker:" + m_record.marker + wordsOf(m_kind.promptWords);
    request.body = nlohmann::json {
        { "model", "auto" }, { "stream", m_kind.streaming }, { "max_tokens", m_kind.outputTokens },
        { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", prompt } } }) }
    }.dump();
    return request;
}

void simulated_caller::onHead(int status, const http_headers& headers)
{
    m_status = status;
    m_headers = headers;
}

void simulated_caller::onData(std::string_view bytes)
{
    if (m_record.firstMilliseconds == 0)
        m_record.firstMilliseconds = toSeconds(os_clock().now() - m_start) * 1000;
    m_body += bytes;
}

void simulated_caller::onFinished(const exchange_result& result)
{
    try_record& attempt = m_record.tries.back();
    attempt.status = m_status;
    attempt.run = findHeader(m_headers, "X-Pollen-Run");
    attempt.requestId = findHeader(m_headers, "X-Request-Id");
    attempt.endMilliseconds = os_clock().wallMilliseconds();
    const bool unfinishedStream = m_status == 200 && m_kind.streaming && !m_body.ends_with("data: [DONE]\n\n");
    attempt.cut = result.requestSent && (!result.ok() || unfinishedStream);
    if (result.ok() && m_status == 200 && !unfinishedStream) {
        readAnswer();
        finish(caller_outcome::Complete);
        return;
    }
    const bool final = result.ok() && m_status >= 400 && m_status < 500 && m_status != 409 && m_status != 429;
    if (final)
        finish(caller_outcome::Refused);
    else
        retryLater();
}

void simulated_caller::readAnswer()
{
    m_record.version = std::string(findHeader(m_headers, "X-Pollen-Model")) + "/"
        + std::string(findHeader(m_headers, "X-Pollen-Version"));
    if (m_record.isService) {
        const auto json = nlohmann::json::parse(m_body, nullptr, false);
        m_record.wrongAnswer = !json.is_object() || (m_record.nonRepeatable && json["echo"] != m_record.marker);
        return;
    }
    const std::string text = answerText();
    // Every token is numbered, so that the whole text can be told from its last word.
    const std::string lastWord = "w" + std::to_string(m_kind.outputTokens - 1);
    m_record.wrongAnswer = !text.starts_with(m_record.marker + " ") || !text.ends_with(lastWord);
    if (m_session)
        updateSession();
}

std::string simulated_caller::answerText() const
{
    if (!m_kind.streaming) {
        const auto json = nlohmann::json::parse(m_body, nullptr, false);
        return json.is_object() ? json["choices"][0]["message"]["content"].get<std::string>() : "";
    }
    constexpr std::string_view prefix = "data: ";
    std::string text;
    for (size_t start = 0; start < m_body.size();) {
        const size_t end = std::min(m_body.find('\n', start), m_body.size());
        const std::string line = m_body.substr(start, end - start);
        start = end + 1;
        const auto json = line.starts_with(prefix) ? nlohmann::json::parse(line.substr(prefix.size()), nullptr, false)
                                                   : nlohmann::json();
        if (json.is_object() && !json["choices"].empty())
            text += json["choices"][0]["delta"].value("content", "");
    }
    return text;
}

void simulated_caller::updateSession()
{
    m_record.sessionChanged = !m_session->version.empty() && m_session->version != m_record.version;
    m_record.sessionChangeTold = !findHeader(m_headers, "X-Pollen-Session-Changed").empty();
    m_session->version = m_record.version;
    m_session->token = findHeader(m_headers, "X-Pollen-Session");
}

void simulated_caller::retryLater()
{
    if (m_record.tries.size() >= maximumTries) {
        finish(caller_outcome::GaveUp);
        return;
    }
    m_retry.startOnce(retryDelay);
}

void simulated_caller::finish(caller_outcome outcome)
{
    m_record.outcome = outcome;
    m_record.milliseconds = toSeconds(os_clock().now() - m_start) * 1000;
    m_onDone();
}

} // namespace pollen
