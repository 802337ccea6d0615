#include <config/fleet_document.h>

#include <sstream>
#include <toml++/toml.h>

namespace pollen {

namespace {

std::string spanText(duration span) { return std::to_string(span.count()) + "us"; }

template <typename Values, typename ToText> toml::array textArray(const Values& values, ToText toText)
{
    toml::array array;
    for (const auto& value : values)
        array.push_back(toText(value));
    return array;
}

const auto patternText = [](const version_pattern& pattern) { return pattern.text; };
const auto nameText = [](const auto& name) { return name.text(); };

toml::table qualityTable(const std::map<class_name, double>& values)
{
    toml::table table;
    for (const auto& [name, value] : values)
        table.insert(name.text(), value);
    return table;
}

toml::table writeClass(const class_entry& entry)
{
    return toml::table { { "name", entry.name.text() }, { "priority", entry.priority },
        { "quality_target", entry.qualityTarget }, { "deadline", spanText(entry.deadline) } };
}

toml::table writeVersion(const version_entry& entry)
{
    toml::table table { { "name", entry.ref.version.text() }, { "state", toText(entry.state) },
        { "input_cost", entry.inputCost }, { "output_cost", entry.outputCost },
        { "prompt_tokens_per_second", entry.promptTokensPerSecond },
        { "output_tokens_per_second", entry.outputTokensPerSecond }, { "quality", qualityTable(entry.quality) } };
    if (entry.state == version_state::RollingOut)
        table.insert("rollout_share", entry.rolloutShare);
    return table;
}

toml::array writeModels(const std::vector<version_entry>& versions)
{
    toml::array models;
    for (const version_entry& entry : versions) {
        toml::table* model = nullptr;
        for (toml::node& node : models) {
            if (node.as_table()->at("name").value<std::string>() == entry.ref.model.text())
                model = node.as_table();
        }
        if (!model) {
            models.push_back(toml::table { { "name", entry.ref.model.text() }, { "version", toml::array() } });
            model = models.back().as_table();
        }
        model->at("version").as_array()->push_back(writeVersion(entry));
    }
    return models;
}

toml::table writeService(const service_entry& entry)
{
    const auto callText = [](const call_pattern& pattern) { return pattern.method + " " + pattern.pathPrefix; };
    return toml::table { { "name", entry.name.text() }, { "cost_per_call", entry.costPerCall },
        { "timeout", spanText(entry.timeout) }, { "non_repeatable", textArray(entry.nonRepeatable, callText) } };
}

toml::table writeTeam(const team_entry& entry)
{
    const auto same = [](const std::string& text) { return text; };
    return toml::table { { "name", entry.name.text() }, { "key_sha256", textArray(entry.keyDigests, same) },
        { "default_class", entry.defaultClass.text() }, { "allowed", textArray(entry.allowed, patternText) },
        { "services", textArray(entry.services, nameText) }, { "maximum_requests", entry.maximumRequests },
        { "quality_targets", qualityTable(entry.qualityTargets) } };
}

toml::table writeException(const exception_entry& entry)
{
    return toml::table { { "team", entry.team.text() }, { "allow", textArray(entry.allow, patternText) },
        { "deny", textArray(entry.deny, patternText) }, { "reason", entry.reason } };
}

toml::table writeServer(const server_entry& entry)
{
    toml::table table { { "id", entry.id.text() }, { "failure_domain", entry.failureDomain.text() },
        { "address", entry.address.text() } };
    if (entry.kind == backend_kind::PlainService)
        table.insert("service", entry.service.text());
    else
        table.insert("versions", textArray(entry.versions, nameText));
    return table;
}

template <typename Entries, typename Write> toml::array writeAll(const Entries& entries, Write write)
{
    toml::array array;
    for (const auto& entry : entries)
        array.push_back(write(entry));
    return array;
}

} // namespace

std::string toToml(const fleet_document& document)
{
    toml::table root;
    root.insert("fleet", toml::table { { "name", document.name }, { "currency", document.currency } });
    root.insert("class", writeAll(document.classes, writeClass));
    root.insert("model", writeModels(document.versions));
    root.insert("service", writeAll(document.services, writeService));
    root.insert("team", writeAll(document.teams, writeTeam));
    root.insert("exception", writeAll(document.exceptions, writeException));
    root.insert("backend_server", writeAll(document.servers, writeServer));
    std::ostringstream out;
    out << root << '\n';
    return out.str();
}

} // namespace pollen
