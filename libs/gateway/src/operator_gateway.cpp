#include <gateway/operator_gateway.h>

#include <gateway/api_error.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr std::string_view explainPrefix = "/admin/explain/";
const http_headers textHeaders { { "Content-Type", "text/plain" } };
const http_headers jsonHeaders { { "Content-Type", "application/json" } };

nlohmann::ordered_json describe(const server_row& row, time_point now)
{
    nlohmann::ordered_json json { { "id", row.entry.id.text() }, { "address", row.entry.address.text() },
        { "failure_domain", row.entry.failureDomain.text() }, { "takes_work", row.isAvailable(now) },
        { "leaving", row.leaving }, { "own_requests", row.ownRequests }, { "other_requests", row.otherRequests },
        { "consecutive_failures", row.consecutiveFailures } };
    json["serves"] = nlohmann::json::array();
    for (const version_ref& ref : row.entry.versions)
        json["serves"].push_back(ref.text());
    if (!row.entry.service.empty())
        json["serves"].push_back("service:" + row.entry.service.text());
    return json;
}

} // namespace

operator_gateway::operator_gateway(const operator_dependencies& dependencies)
    : m_dependencies(dependencies)
{
}

void operator_gateway::handle(server_request& request)
{
    const std::string path(targetPath(request.request().target));
    const bool ready = m_dependencies.callers.ready();
    if (request.request().method != "GET") {
        const http_response response = toResponse({ error_kind::UnknownRoute, run_state::NotRun, "only GET" }, {});
        request.reply(response.status, response.headers, response.body);
    } else if (path == "/healthz") {
        request.reply(200, textHeaders, "ok\n");
    } else if (path == "/readyz") {
        request.reply(ready ? 200 : 503, textHeaders, ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        updateGauges();
        request.reply(200, { { "Content-Type", "text/plain; version=0.0.4" } },
            m_dependencies.shared.metrics.render()
                + (m_dependencies.connections ? m_dependencies.connections->renderMetrics() : ""));
    } else if (path == "/admin/status") {
        request.reply(200, jsonHeaders, statusJson());
    } else if (path.starts_with(explainPrefix)) {
        explain(request, path.substr(explainPrefix.size()));
    } else {
        const http_response response = toResponse({ error_kind::UnknownRoute, run_state::NotRun, "no such path" }, {});
        request.reply(response.status, response.headers, response.body);
    }
}

void operator_gateway::explain(server_request& request, const std::string& id)
{
    const auto text = m_dependencies.shared.journal.explain(request_id(id));
    if (text) {
        request.reply(200, jsonHeaders, *text);
        return;
    }
    const api_error error { error_kind::UnknownRoute, run_state::NotRun,
        "this instance does not remember the request" };
    const http_response response = toResponse(error, request_id(id));
    request.reply(response.status, response.headers, response.body);
}

std::string operator_gateway::statusJson() const
{
    const gateway_dependencies& shared = m_dependencies.shared;
    const time_point now = shared.time.now();
    nlohmann::ordered_json json { { "id", shared.settings.id.text() },
        { "failure_domain", shared.settings.failureDomain.text() }, { "ready", m_dependencies.callers.ready() },
        { "draining", m_dependencies.callers.draining() }, { "open_requests", m_dependencies.callers.openRequests() } };
    json["fleet"] = shared.tables.document() ? shared.tables.document()->name : "";
    if (const configuration_manager* keeper = m_dependencies.configuration) {
        json["configuration_version"] = keeper->version();
        const time_point contact = keeper->follower().lastContact();
        json["log_contact_ms"] = contact == time_point {} ? -1 : toMilliseconds(now - contact);
    }
    json["bills"] = { { "waiting", shared.bills.pendingBills() }, { "held_for_peers", shared.bills.heldBills() },
        { "unreplicated", shared.bills.unreplicatedBills() } };
    json["claims"] = { { "remembered_keys", shared.claims.keyCount() } };
    json["ratings"] = nlohmann::json::array();
    if (shared.ratings) {
        for (const auto& [key, summary] : shared.ratings->summaries())
            json["ratings"].push_back({ { "version", key.first.text() }, { "class", key.second.text() },
                { "count", summary.count }, { "mean", summary.mean() } });
    }
    json["backend_servers"] = nlohmann::json::array();
    for (const server_row& row : shared.tables.servers().rows()) {
        if (row.used)
            json["backend_servers"].push_back(describe(row, now));
    }
    json["peers"] = nlohmann::json::array();
    for (const auto& [id, row] : m_dependencies.peers.rows())
        json["peers"].push_back({ { "id", id.text() }, { "failure_domain", row.listed.failureDomain.text() },
            { "alive", m_dependencies.peers.isAlive(id, now) }, { "draining", row.draining },
            { "configuration_version", row.configurationVersion } });
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void operator_gateway::updateGauges()
{
    gateway_metrics& metrics = m_dependencies.shared.metrics;
    const auto count = [](size_t value) { return static_cast<double>(value); };
    metrics.setGauge(
        "pollen_open_requests", "Requests that are not finished", count(m_dependencies.callers.openRequests()));
    metrics.setGauge(
        "pollen_bills_waiting", "Bills not yet in the log", count(m_dependencies.shared.bills.pendingBills()));
    metrics.setGauge("pollen_bills_held", "Bills held for peers", count(m_dependencies.shared.bills.heldBills()));
    metrics.setGauge("pollen_bills_unreplicated", "Bills that no peer held before their answer went out",
        count(m_dependencies.shared.bills.unreplicatedBills()));
    metrics.setGauge(
        "pollen_claim_keys", "Idempotency keys remembered", count(m_dependencies.shared.claims.keyCount()));
    metrics.setGauge("pollen_datagrams_dropped", "Datagrams from peers that were refused",
        count(m_dependencies.node.droppedDatagrams()));
    metrics.setGauge(
        "pollen_peer_sent_bytes", "Bytes sent to peers since the start", count(m_dependencies.node.sentBytes()));
    if (m_dependencies.configuration)
        metrics.setGauge("pollen_configuration_version", "Log offset of the configuration in force",
            count(m_dependencies.configuration->version()));
}

} // namespace pollen
