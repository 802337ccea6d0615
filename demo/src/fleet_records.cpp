#include "fleet_records.h"

#include <base/error.h>
#include <cerrno>
#include <http/http_client.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration fetchTimeout = std::chrono::seconds(10);

nlohmann::json fetchJson(event_loop& loop, http_client& client, const endpoint& standin)
{
    std::optional<http_response> answer;
    bool finished = false;
    client.fetch(standin, { "GET", "/standin/records", {}, "" }, {},
        [&](const exchange_result& result, const http_response& response) {
            finished = true;
            if (result.ok())
                answer = response;
        });
    loop.runUntil([&] { return finished; }, fetchTimeout);
    if (!answer)
        throw system_error("no records from " + standin.text(), ETIMEDOUT);
    return nlohmann::json::parse(answer->body);
}

std::vector<dated_configuration> foldConfigurations(const nlohmann::json& records)
{
    std::vector<dated_configuration> result;
    configuration_fold fold;
    for (const auto& record : records) {
        const log_offset before = fold.state().version;
        fold.apply(record["offset"], record["value"]);
        if (fold.state().version != before)
            result.push_back({ fold.state().version, record["time_ms"], fold.state().document });
    }
    return result;
}

void addBackend(const planned_backend& backend, const nlohmann::json& items, fleet_records& records)
{
    for (const auto& item : items) {
        if (backend.service.empty())
            records.engineWork.push_back(
                { backend.id, item["request"], item["version"], item["marker"], item["start_ms"] });
        else
            records.serviceWork.push_back({ item["request"], item["key"], item["method"] });
    }
}

} // namespace

fleet_records fetchRecords(const planned_fleet& fleet)
{
    event_loop loop;
    http_client client(loop);
    fleet_records records;
    for (const planned_backend& backend : fleet.backends)
        addBackend(backend, fetchJson(loop, client, backend.address), records);
    const auto streams = fetchJson(loop, client, fleet.log)["streams"];
    records.configurations = foldConfigurations(streams.value("configuration", nlohmann::json::array()));
    for (const auto& record : streams.value("bills", nlohmann::json::array())) {
        const auto bill = nlohmann::json::parse(record["value"].get<std::string>());
        records.bills.push_back({ bill["id"], bill["class"], bill["cost"] });
    }
    return records;
}

} // namespace pollen
