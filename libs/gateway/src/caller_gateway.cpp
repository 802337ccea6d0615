#include <gateway/caller_gateway.h>

#include "caller_identity.h"
#include "chat_exchange.h"
#include "service_exchange.h"

#include <base/digest.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr std::string_view servicePrefix = "/services/";
constexpr duration retryAfterOverload = std::chrono::seconds(1);

void reply(server_request& request, const http_response& response)
{
    request.reply(response.status, response.headers, response.body);
}

} // namespace

caller_gateway::caller_gateway(gateway_dependencies& dependencies)
    : m_dependencies(dependencies)
    , m_alive(std::make_shared<bool>(true))
    , m_idPrefix(dependencies.settings.id.text() + "-" + randomHex64().substr(0, 8) + "-")
{
}

caller_gateway::~caller_gateway() = default;

request_id caller_gateway::nextRequestId() { return request_id(m_idPrefix + std::to_string(++m_idCounter)); }

void caller_gateway::handle(const std::shared_ptr<server_request>& request)
{
    const request_id id = nextRequestId();
    try {
        dispatch(request, id);
    } catch (const request_error& exception) {
        reply(*request, toResponse(exception.response(), id));
        m_dependencies.metrics.countRequest({}, {}, toText(exception.response().kind));
    }
}

void caller_gateway::dispatch(const std::shared_ptr<server_request>& request, const request_id& id)
{
    const http_request& message = request->request();
    const std::string path(targetPath(message.target));
    if (path == "/healthz") {
        request->reply(200, { { "Content-Type", "text/plain" } }, "ok\n");
        return;
    }
    if (path == "/readyz") {
        request->reply(ready() ? 200 : 503, { { "Content-Type", "text/plain" } }, ready() ? "ready\n" : "not ready\n");
        return;
    }
    const bool chat = path == "/v1/chat/completions" && message.method == "POST";
    const bool models = path == "/v1/models" && message.method == "GET";
    const bool service = path.starts_with(servicePrefix);
    if (!chat && !models && !service)
        throw request_error({ error_kind::UnknownRoute, run_state::NotRun, "no such path and method" });
    if (!m_dependencies.tables.document())
        throw request_error({ error_kind::NoConfiguration, run_state::NotRun,
            "no configuration has been published, or it has not been read yet", retryAfterOverload });
    if (m_openExchanges.size() >= static_cast<size_t>(m_dependencies.settings.limits.maximumRequests))
        throw request_error({ error_kind::Overloaded, run_state::NotRun,
            "this instance has as many requests running as it may", retryAfterOverload });
    if (models) {
        listModels(*request, id);
        return;
    }
    if (chat) {
        start(std::make_shared<chat_exchange>(m_dependencies, request, id));
        return;
    }
    const std::string rest = message.target.substr(servicePrefix.size());
    const size_t slash = rest.find_first_of("/?");
    const service_name name(rest.substr(0, slash));
    std::string target = slash == std::string::npos ? "/" : rest.substr(slash);
    if (target.front() == '?')
        target.insert(target.begin(), '/');
    start(std::make_shared<service_exchange>(m_dependencies, request, id, name, target));
}

void caller_gateway::listModels(server_request& request, const request_id& id)
{
    const fleet_tables& tables = m_dependencies.tables;
    const team_row& team = tables.team(authenticate(request.request(), tables));
    auto data = nlohmann::json::array();
    for (size_t i = 0; i < tables.versions().size(); ++i) {
        const version_entry& entry = *tables.versions()[i].entry;
        if (entry.state == version_state::Withdrawn || team.permissions[i] != permission::Allowed)
            continue;
        data.push_back({ { "id", entry.ref.text() }, { "object", "model" }, { "owned_by", entry.ref.model.text() } });
    }
    const nlohmann::json body { { "object", "list" }, { "data", data } };
    request.reply(200, { { "Content-Type", "application/json" }, { "X-Request-Id", id.text() } }, body.dump());
}

void caller_gateway::endOpenRequests()
{
    for (const auto& exchange : std::set(m_openExchanges))
        exchange->endWithInstance();
}

void caller_gateway::start(const std::shared_ptr<caller_exchange>& exchange)
{
    m_openExchanges.insert(exchange);
    // onEnd is called from inside the exchange, so its release is deferred to the event loop.
    exchange->start([this, weak = std::weak_ptr(exchange)] {
        m_dependencies.loop.post([this, weak, alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                m_openExchanges.erase(weak.lock());
        });
    });
}

} // namespace pollen
