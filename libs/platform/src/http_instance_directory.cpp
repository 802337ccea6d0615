#include <platform/http_instance_directory.h>

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration answerTimeout = std::chrono::seconds(2);
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

std::optional<instance_role> parseRole(const std::string& text)
{
    if (text == "engine")
        return instance_role::ModelEngine;
    if (text == "service")
        return instance_role::PlainService;
    if (text == "router")
        return instance_role::Router;
    return std::nullopt;
}

// Entries of a role that this version does not know are passed over.
std::vector<listed_instance> parseList(const std::string& body)
{
    std::vector<listed_instance> list;
    const auto json = nlohmann::json::parse(body);
    for (const auto& item : json.at("instances")) {
        const auto role = parseRole(item.at("role").get<std::string>());
        if (!role)
            continue;
        listed_instance instance;
        instance.id = instance_id(item.at("id").get<std::string>());
        instance.role = *role;
        instance.failureDomain = failure_domain_name(item.at("failure_domain").get<std::string>());
        instance.address = parseEndpoint(item.at("address").get<std::string>());
        instance.leaving = item.at("state").get<std::string>() == "leaving";
        instance.service = service_name(item.value("service", ""));
        for (const auto& version : item.value("versions", nlohmann::json::array()))
            instance.versions.push_back(parseVersionRef(version.get<std::string>()));
        list.push_back(std::move(instance));
    }
    return list;
}

// Keeps the tag of a list that could be read.
directory_answer toAnswer(const exchange_result& result, const http_response& response, std::string& tag)
{
    if (result.ok() && response.status == statusNotModified)
        return { directory_state::Unchanged };
    if (!result.ok() || response.status != statusOk)
        return {};
    try {
        directory_answer answer { directory_state::Changed, parseList(response.body) };
        tag = findHeader(response.headers, "ETag");
        return answer;
    } catch (const nlohmann::json::exception&) {
        return {};
    } catch (const endpoint_error&) {
        return {};
    }
}

} // namespace

http_instance_directory::http_instance_directory(http_client& client, const endpoint& server)
    : m_client(client)
    , m_server(server)
    , m_tag(std::make_shared<std::string>())
{
}

void http_instance_directory::list(list_callback callback)
{
    http_request request { "GET", "/instances", {}, "" };
    if (!m_tag->empty())
        request.headers.emplace_back("If-None-Match", *m_tag);
    exchange_options options;
    options.timeout = answerTimeout;
    options.repeatable = true;
    const auto onFetched = [callback = std::move(callback), tag = m_tag](const exchange_result& result,
                               const http_response& response) { callback(toAnswer(result, response, *tag)); };
    m_client.fetch(m_server, std::move(request), options, onFetched);
}

} // namespace pollen
