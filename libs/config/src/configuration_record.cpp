#include <config/configuration_record.h>

#include <array>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr std::array<change_kind, 4> kinds { change_kind::Publish, change_kind::Withdraw, change_kind::Rollout,
    change_kind::Snapshot };

change_kind parseKind(const std::string& text)
{
    for (const change_kind kind : kinds) {
        if (text == toText(kind))
            return kind;
    }
    throw record_error("unknown kind of configuration record '" + text + "'");
}

nlohmann::json refTexts(const std::vector<version_ref>& refs)
{
    auto array = nlohmann::json::array();
    for (const version_ref& ref : refs)
        array.push_back(ref.text());
    return array;
}

std::vector<version_ref> parseRefs(const nlohmann::json& array)
{
    std::vector<version_ref> refs;
    for (const auto& text : array)
        refs.push_back(parseVersionRef(text.get<std::string>()));
    return refs;
}

} // namespace

const char* toText(change_kind kind)
{
    switch (kind) {
    case change_kind::Publish:
        return "publish";
    case change_kind::Withdraw:
        return "withdraw";
    case change_kind::Rollout:
        return "rollout";
    case change_kind::Snapshot:
        return "snapshot";
    }
    return "publish";
}

std::string encodeRecord(const configuration_record& record)
{
    const nlohmann::json json { { "kind", toText(record.kind) }, { "id", record.id }, { "author", record.author },
        { "reason", record.reason }, { "base", record.base }, { "document", record.document },
        { "reinstate", refTexts(record.reinstate) }, { "version", record.version.text() }, { "share", record.share },
        { "withdrawn", refTexts(record.withdrawn) }, { "recent_ids", record.recentIds } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

configuration_record decodeRecord(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        configuration_record record;
        record.kind = parseKind(json.at("kind").get<std::string>());
        record.id = json.at("id").get<std::string>();
        record.author = json.at("author").get<std::string>();
        record.reason = json.at("reason").get<std::string>();
        record.base = json.at("base").get<log_offset>();
        record.document = json.at("document").get<std::string>();
        record.reinstate = parseRefs(json.at("reinstate"));
        record.version = parseVersionRef(json.at("version").get<std::string>());
        record.share = json.at("share").get<double>();
        record.withdrawn = parseRefs(json.at("withdrawn"));
        record.recentIds = json.at("recent_ids").get<std::vector<std::string>>();
        return record;
    } catch (const nlohmann::json::exception& problem) {
        throw record_error(problem.what());
    }
}

} // namespace pollen
