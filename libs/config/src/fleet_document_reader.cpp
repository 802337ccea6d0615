#include <config/fleet_document.h>

#include <config/toml_section.h>

#include <set>

namespace pollen {

namespace {

constexpr double highestCost = 1e6;
constexpr double highestSpeed = 1e7;
constexpr size_t digestLength = 64;

class fleet_document_reader {
public:
    fleet_document_reader(const toml::table& table, const std::string& file)
        : m_root(table, file, "")
    {
    }

    fleet_document read()
    {
        readFleet(m_root.section("fleet"));
        for (toml_section& section : m_root.sections("class"))
            readClass(section);
        for (toml_section& section : m_root.sections("model"))
            readModel(section);
        for (toml_section& section : m_root.sections("service"))
            readService(section);
        for (toml_section& section : m_root.sections("team"))
            readTeam(section);
        for (toml_section& section : m_root.sections("exception"))
            readException(section);
        for (toml_section& section : m_root.sections("backend_server"))
            readServer(section);
        m_root.finish();
        return std::move(m_document);
    }

private:
    void readFleet(toml_section section)
    {
        m_document.name = section.text("name");
        m_document.currency = section.text("currency");
        section.finish();
    }

    void readClass(toml_section& section)
    {
        constexpr int64_t lowestPriority = 99;
        class_entry entry;
        entry.name = class_name(section.text("name"));
        entry.priority = section.integer("priority", 0, 0, lowestPriority);
        entry.qualityTarget = section.number("quality_target", 0, 1);
        entry.deadline = section.span("deadline", std::chrono::seconds(30));
        section.finish();
        if (m_document.findClass(entry.name))
            section.fail(settings_problem::Duplicate, "name", "class '" + entry.name.text() + "' is listed twice");
        m_document.classes.push_back(std::move(entry));
    }

    void readModel(toml_section& section)
    {
        const model_name model(section.text("name"));
        checkPlainName(section, "name", model.text());
        for (toml_section& version : section.sections("version"))
            readVersion(version, model);
        section.finish();
    }

    void readVersion(toml_section& section, const model_name& model)
    {
        version_entry entry;
        entry.ref = { model, version_name(section.text("name")) };
        checkPlainName(section, "name", entry.ref.version.text());
        entry.state = readState(section);
        entry.rolloutShare = section.number("rollout_share", 0, 0, 1);
        entry.inputCost = section.number("input_cost", 0, highestCost);
        entry.outputCost = section.number("output_cost", 0, highestCost);
        entry.promptTokensPerSecond = section.number("prompt_tokens_per_second", 1, highestSpeed);
        entry.outputTokensPerSecond = section.number("output_tokens_per_second", 1, highestSpeed);
        toml_section quality = section.section("quality");
        for (const auto& [name, value] : quality.numbers(0, 1)) {
            requireClass(quality, name, name);
            entry.quality.emplace(class_name(name), value);
        }
        section.finish();
        if (m_document.findVersion(entry.ref))
            section.fail(settings_problem::Duplicate, "name", "version '" + entry.ref.text() + "' is listed twice");
        if (entry.rolloutShare > 0 && entry.state != version_state::RollingOut)
            section.fail(settings_problem::Contradiction, "rollout_share", "needs state \"rolling_out\"");
        m_document.versions.push_back(std::move(entry));
    }

    static version_state readState(toml_section& section)
    {
        const std::string text = section.text("state", "active");
        if (text == "active")
            return version_state::Active;
        if (text == "rolling_out")
            return version_state::RollingOut;
        if (text == "withdrawn")
            return version_state::Withdrawn;
        section.fail(settings_problem::BadValue, "state", "must be active, rolling_out or withdrawn");
    }

    void readService(toml_section& section)
    {
        service_entry entry;
        entry.name = service_name(section.text("name"));
        checkPlainName(section, "name", entry.name.text());
        entry.costPerCall = section.number("cost_per_call", 0, 0, highestCost);
        entry.timeout = section.span("timeout", std::chrono::seconds(10));
        for (const std::string& text : section.texts("non_repeatable")) {
            const size_t space = text.find(' ');
            if (space == std::string::npos || text.compare(space + 1, 1, "/") != 0)
                section.fail(settings_problem::BadValue, "non_repeatable", "must read like \"POST /orders\"");
            entry.nonRepeatable.push_back({ text.substr(0, space), text.substr(space + 1) });
        }
        section.finish();
        if (m_document.findService(entry.name))
            section.fail(settings_problem::Duplicate, "name", "service '" + entry.name.text() + "' is listed twice");
        m_document.services.push_back(std::move(entry));
    }

    void readTeam(toml_section& section)
    {
        constexpr int64_t mostRequests = 1000000;
        constexpr int64_t defaultRequests = 256;
        team_entry entry;
        entry.name = team_name(section.text("name"));
        entry.keyDigests = section.texts("key_sha256");
        for (const std::string& digest : entry.keyDigests)
            checkDigest(section, digest);
        const std::string defaultClass = section.text("default_class");
        requireClass(section, "default_class", defaultClass);
        entry.defaultClass = class_name(defaultClass);
        entry.allowed = readPatterns(section, "allowed");
        for (const std::string& name : section.texts("services")) {
            if (!m_document.findService(service_name(name)))
                section.fail(settings_problem::UnknownReference, "services", "no service '" + name + "'");
            entry.services.emplace_back(name);
        }
        entry.maximumRequests = section.integer("maximum_requests", defaultRequests, 1, mostRequests);
        if (auto targets = section.optionalSection("quality_targets")) {
            for (const auto& [name, value] : targets->numbers(0, 1)) {
                requireClass(*targets, name, name);
                entry.qualityTargets.emplace(class_name(name), value);
            }
        }
        section.finish();
        if (m_document.findTeam(entry.name))
            section.fail(settings_problem::Duplicate, "name", "team '" + entry.name.text() + "' is listed twice");
        m_document.teams.push_back(std::move(entry));
    }

    void checkDigest(toml_section& section, const std::string& digest)
    {
        const bool hexadecimal = digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (digest.size() != digestLength || !hexadecimal)
            section.fail(settings_problem::BadValue, "key_sha256", "must be 64 lower-case hexadecimal characters");
        if (!m_digests.insert(digest).second)
            section.fail(settings_problem::Duplicate, "key_sha256", "a key belongs to two teams");
    }

    void readException(toml_section& section)
    {
        exception_entry entry;
        entry.team = team_name(section.text("team"));
        if (!m_document.findTeam(entry.team))
            section.fail(settings_problem::UnknownReference, "team", "no team '" + entry.team.text() + "'");
        entry.allow = readPatterns(section, "allow");
        entry.deny = readPatterns(section, "deny");
        entry.reason = section.text("reason");
        if (entry.reason.find_first_not_of(" \t\n") == std::string::npos)
            section.fail(settings_problem::BadValue, "reason", "must be written out");
        if (entry.allow.empty() && entry.deny.empty())
            section.fail(settings_problem::MissingKey, "allow", "an exception must allow or deny something");
        section.finish();
        m_document.exceptions.push_back(std::move(entry));
    }

    void readServer(toml_section& section)
    {
        server_entry entry;
        entry.id = instance_id(section.text("id"));
        entry.failureDomain = failure_domain_name(section.text("failure_domain"));
        entry.address = section.address("address");
        for (const std::string& text : section.texts("versions")) {
            entry.versions.push_back(parseVersionRef(text));
            if (!m_document.findVersion(entry.versions.back()))
                section.fail(settings_problem::UnknownReference, "versions", "no version '" + text + "'");
        }
        entry.service = service_name(section.text("service", ""));
        if (!entry.service.empty() && !m_document.findService(entry.service))
            section.fail(settings_problem::UnknownReference, "service", "no service '" + entry.service.text() + "'");
        if (entry.versions.empty() == entry.service.empty())
            section.fail(settings_problem::Contradiction, "service", "give either versions or a service");
        entry.kind = entry.service.empty() ? backend_kind::ModelEngine : backend_kind::PlainService;
        section.finish();
        m_document.servers.push_back(std::move(entry));
    }

    std::vector<version_pattern> readPatterns(toml_section& section, const std::string& key)
    {
        std::vector<version_pattern> patterns;
        for (const std::string& text : section.texts(key)) {
            patterns.push_back({ text });
            bool matched = text == "*";
            for (const version_entry& version : m_document.versions)
                matched = matched || patterns.back().matches(version.ref);
            if (!matched)
                section.fail(settings_problem::UnknownReference, key, "no version matches '" + text + "'");
        }
        return patterns;
    }

    void requireClass(const toml_section& section, const std::string& key, const std::string& name) const
    {
        if (!m_document.findClass(class_name(name)))
            section.fail(settings_problem::UnknownReference, key, "no class '" + name + "'");
    }

    // Names that are written into patterns, paths and headers.
    static void checkPlainName(const toml_section& section, const std::string& key, const std::string& name)
    {
        constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
        if (name.find_first_not_of(plain) != std::string::npos)
            section.fail(settings_problem::BadValue, key, "may hold only letters, digits, '.', '_' and '-'");
    }

    toml_section m_root;
    fleet_document m_document;
    std::set<std::string> m_digests;
};

} // namespace

fleet_document parseFleetDocument(const std::string& text, const std::string& file)
{
    const toml::table table = parseToml(text, file);
    return fleet_document_reader(table, file).read();
}

} // namespace pollen
