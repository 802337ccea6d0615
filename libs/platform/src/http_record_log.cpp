#include <platform/http_record_log.h>

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration answerTimeout = std::chrono::seconds(2);
constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
// What the log says about an append that it refuses without effect.
constexpr std::string_view runHeader = "X-Run";
constexpr std::string_view notRun = "not_run";

append_result toAppendResult(const exchange_result& result, const http_response& response)
{
    if (!result.ok())
        return { result.requestSent ? append_outcome::Unknown : append_outcome::NotAppended, 0 };
    if (response.status == statusTooManyRequests || findHeader(response.headers, runHeader) == notRun)
        return { result.repeated ? append_outcome::Unknown : append_outcome::NotAppended, 0 };
    if (response.status != statusOk)
        return { append_outcome::Unknown, 0 };
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object() || !json.contains("first_offset") || !json["first_offset"].is_number_unsigned())
        return { append_outcome::Unknown, 0 };
    return { append_outcome::Appended, json["first_offset"].get<log_offset>() };
}

read_result toReadResult(const exchange_result& result, const http_response& response)
{
    if (!result.ok() || response.status != statusOk)
        return {};
    try {
        const auto json = nlohmann::json::parse(response.body);
        read_result read { true, {}, json.at("oldest").get<log_offset>(), json.at("now_ms").get<int64_t>(),
            json.at("retention_ms").get<int64_t>() };
        for (const auto& item : json.at("records"))
            read.records.push_back({ item.at("offset").get<log_offset>(), item.at("time_ms").get<int64_t>(),
                item.at("value").get<std::string>() });
        return read;
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

} // namespace

http_record_log::http_record_log(http_client& client, const endpoint& server)
    : m_client(client)
    , m_server(server)
{
}

void http_record_log::append(const std::string& stream, std::vector<std::string> records, append_callback callback)
{
    http_request request { "POST", "/streams/" + stream, { { "Content-Type", "application/json" } }, "" };
    request.body = nlohmann::json { { "records", std::move(records) } }.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    exchange_options options;
    options.timeout = answerTimeout;
    // Every stream counts a record that appears twice once.
    options.repeatable = true;
    m_client.fetch(m_server, std::move(request), options,
        [callback = std::move(callback)](const exchange_result& result, const http_response& response) {
            callback(toAppendResult(result, response));
        });
}

void http_record_log::read(const std::string& stream, log_offset from, duration wait, read_callback callback)
{
    http_request request;
    request.target
        = "/streams/" + stream + "?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(toMilliseconds(wait));
    exchange_options options;
    options.timeout = wait + answerTimeout;
    options.repeatable = true;
    m_client.fetch(m_server, std::move(request), options,
        [callback = std::move(callback)](const exchange_result& result, const http_response& response) {
            callback(toReadResult(result, response));
        });
}

} // namespace pollen
