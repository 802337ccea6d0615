#include <platform/http_rating_service.h>

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration answerTimeout = std::chrono::seconds(2);
constexpr int statusOk = 200;

std::optional<std::vector<rating>> parseRatings(const std::string& body)
{
    try {
        std::vector<rating> ratings;
        const auto json = nlohmann::json::parse(body);
        for (const auto& item : json.at("ratings")) {
            const double quality = item.at("rating").get<double>();
            if (!(quality >= 0 && quality <= 1))
                return std::nullopt;
            ratings.push_back(
                { item.at("number").get<uint64_t>(), parseVersionRef(item.at("version").get<std::string>()),
                    class_name(item.at("class").get<std::string>()), quality });
        }
        return ratings;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace

http_rating_service::http_rating_service(http_client& client, const endpoint& server)
    : m_client(client)
    , m_server(server)
{
}

void http_rating_service::submit(const rating_sample& sample)
{
    const nlohmann::json json { { "request", sample.request.text() }, { "version", sample.version.text() },
        { "class", sample.requestClass.text() }, { "prompt", sample.prompt }, { "answer", sample.answer } };
    http_request request { "POST", "/ratings", { { "Content-Type", "application/json" } },
        json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    exchange_options options;
    options.timeout = answerTimeout;
    m_client.fetch(m_server, std::move(request), options, [](const exchange_result&, const http_response&) {});
}

void http_rating_service::ratings(uint64_t from, ratings_callback callback)
{
    exchange_options options;
    options.timeout = answerTimeout;
    options.repeatable = true;
    const auto onFetched
        = [callback = std::move(callback)](const exchange_result& result, const http_response& response) {
              const bool ok = result.ok() && response.status == statusOk;
              callback(ok ? parseRatings(response.body) : std::nullopt);
          };
    m_client.fetch(m_server, { "GET", "/ratings?from=" + std::to_string(from), {}, "" }, options, onFetched);
}

} // namespace pollen
