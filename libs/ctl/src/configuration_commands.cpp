#include "command_lists.h"

#include "platform_session.h"

#include <base/digest.h>
#include <config/daemon_settings.h>
#include <ctl/text_diff.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

// First line of what "show" prints, so that an edited copy says which version it was made from.
constexpr std::string_view baseComment = "# base version: ";
constexpr double percent = 100;

std::string readDocument(const std::string& path)
{
    try {
        std::string text = readFile(path);
        parseFleetDocument(text, path);
        return text;
    } catch (const settings_error& problem) {
        throw ctl_error(ctl_exit::BadInput, problem.what());
    }
}

void requireReason(const ctl_arguments& arguments)
{
    if (arguments.reason.find_first_not_of(" \t") == std::string::npos)
        throw ctl_error(ctl_exit::Usage, "say why with --reason TEXT");
}

version_ref readVersion(const std::string& text)
{
    version_ref ref = parseVersionRef(text);
    if (ref.model.empty() || ref.version.empty())
        throw ctl_error(ctl_exit::Usage, "'" + text + "' is not MODEL/VERSION");
    return ref;
}

// The same change made from the same version has the same id, so that repeating a command is harmless.
std::string changeId(const configuration_record& record)
{
    configuration_record unsignedRecord = record;
    unsignedRecord.id.clear();
    unsignedRecord.author.clear();
    return sha256Hex(encodeRecord(unsignedRecord)).substr(0, 32);
}

nlohmann::ordered_json toJson(const folded_change& change)
{
    nlohmann::ordered_json json { { "offset", change.offset }, { "kind", toText(change.record.kind) },
        { "verdict", toText(change.result) }, { "version_after", change.versionAfter },
        { "author", change.record.author }, { "reason", change.record.reason } };
    if (!change.record.version.model.empty())
        json["version"] = change.record.version.text();
    if (!change.detail.empty())
        json["detail"] = change.detail;
    return json;
}

void printChange(const folded_change& change, bool json, std::ostream& out)
{
    if (json) {
        out << toJson(change).dump() << '\n';
        return;
    }
    out << change.offset << "  " << toText(change.record.kind);
    if (!change.record.version.model.empty())
        out << ' ' << change.record.version.text();
    out << "  " << toText(change.result) << "  by " << change.record.author << ": " << change.record.reason;
    if (!change.detail.empty())
        out << "  (" << change.detail << ')';
    out << '\n';
}

// Submits a change and reports the decision; throws when it was decided against.
void submit(platform_session& session, configuration_record record, const ctl_arguments& arguments, std::ostream& out)
{
    record.author = arguments.author;
    record.reason = arguments.reason;
    record.id = changeId(record);
    const folded_change change = session.submit(record);
    printChange(change, arguments.json, out);
    if (change.result != verdict::Accepted && change.result != verdict::Duplicate)
        throw ctl_error(ctl_exit::Refused, std::string("refused: ") + toText(change.result) + ": " + change.detail);
}

class check_command final : public command {
public:
    std::string name() const override { return "check"; }
    std::string operands() const override { return "FILE"; }
    std::string help() const override { return "check a fleet document"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        readDocument(arguments.operands[0]);
        out << arguments.operands[0] << ": valid\n";
    }
};

class publish_command final : public command {
public:
    std::string name() const override { return "publish"; }
    std::string operands() const override { return "FILE"; }
    std::string help() const override { return "put a fleet document into force (--base, --reason, --reinstate)"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        requireReason(arguments);
        configuration_record record;
        record.kind = change_kind::Publish;
        record.document = readDocument(arguments.operands[0]);
        record.reinstate = arguments.reinstate;
        platform_session session(arguments);
        record.base = baseOf(arguments, record.document, session);
        submit(session, std::move(record), arguments, out);
    }

private:
    static log_offset baseOf(const ctl_arguments& arguments, const std::string& document, platform_session& session)
    {
        if (arguments.base)
            return *arguments.base;
        if (document.starts_with(baseComment))
            return std::strtoull(document.c_str() + baseComment.size(), nullptr, 10);
        const log_offset inForce = session.readConfiguration().fold.state().version;
        if (inForce == 0)
            return 0;
        throw ctl_error(ctl_exit::Usage,
            "say which version the document was made from with --base; in force is " + std::to_string(inForce));
    }
};

class show_command final : public command {
public:
    std::string name() const override { return "show"; }
    std::string operands() const override { return ""; }
    std::string help() const override { return "print the document in force, ready to edit and publish"; }
    size_t operandCount() const override { return 0; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        platform_session session(arguments);
        const configuration_state state = session.readConfiguration().fold.state();
        if (!state.document)
            throw ctl_error(ctl_exit::Refused, "nothing has been published");
        const std::string toml = toToml(*state.document);
        if (arguments.json)
            out << nlohmann::json { { "version", state.version }, { "document", toml } }.dump() << '\n';
        else
            out << baseComment << state.version << "\n\n" << toml;
    }
};

class diff_command final : public command {
public:
    std::string name() const override { return "diff"; }
    std::string operands() const override { return "FILE"; }
    std::string help() const override { return "compare the document in force with a file"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        const fleet_document after = parseFleetDocument(readDocument(arguments.operands[0]), arguments.operands[0]);
        platform_session session(arguments);
        const configuration_state state = session.readConfiguration().fold.state();
        const std::string before = state.document ? toToml(*state.document) : std::string();
        const std::vector<std::string> lines = diffLines(before, toToml(after));
        if (arguments.json) {
            out << nlohmann::json { { "version", state.version }, { "lines", lines } }.dump() << '\n';
            return;
        }
        for (const std::string& line : lines)
            out << line << '\n';
    }
};

class history_command final : public command {
public:
    std::string name() const override { return "history"; }
    std::string operands() const override { return ""; }
    std::string help() const override { return "list the changes that the log still keeps, with the decision on each"; }
    size_t operandCount() const override { return 0; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        platform_session session(arguments);
        for (const folded_change& change : session.readConfiguration().changes)
            printChange(change, arguments.json, out);
    }
};

class withdraw_command final : public command {
public:
    std::string name() const override { return "withdraw"; }
    std::string operands() const override { return "MODEL/VERSION"; }
    std::string help() const override { return "stop new work on a version at once (--reason)"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        requireReason(arguments);
        configuration_record record;
        record.kind = change_kind::Withdraw;
        record.version = readVersion(arguments.operands[0]);
        platform_session session(arguments);
        const configuration_state state = session.readConfiguration().fold.state();
        // The base plays no part in the decision; it tells a second withdrawal from a repeated first one.
        record.base = state.version;
        if (state.withdrawn.contains(record.version)) {
            out << record.version.text() << " is withdrawn already\n";
            return;
        }
        submit(session, std::move(record), arguments, out);
    }
};

class rollout_command final : public command {
public:
    std::string name() const override { return "rollout"; }
    std::string operands() const override { return "MODEL/VERSION"; }
    std::string help() const override { return "set the share of a version that rolls out (--share, --reason)"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        requireReason(arguments);
        if (!arguments.sharePercent || *arguments.sharePercent < 0 || *arguments.sharePercent > percent)
            throw ctl_error(ctl_exit::Usage, "give the share in percent, 0 to 100, with --share");
        configuration_record record;
        record.kind = change_kind::Rollout;
        record.version = readVersion(arguments.operands[0]);
        record.share = *arguments.sharePercent / percent;
        platform_session session(arguments);
        record.base = arguments.base ? *arguments.base : session.readConfiguration().fold.state().version;
        submit(session, std::move(record), arguments, out);
    }
};

class hash_key_command final : public command {
public:
    std::string name() const override { return "hash-key"; }
    std::string operands() const override { return "KEY"; }
    std::string help() const override { return "print the digest of a bearer key for key_sha256"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        out << sha256Hex(arguments.operands[0]) << '\n';
    }
};

} // namespace

std::vector<std::unique_ptr<command>> makeConfigurationCommands()
{
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(std::make_unique<check_command>());
    commands.push_back(std::make_unique<publish_command>());
    commands.push_back(std::make_unique<show_command>());
    commands.push_back(std::make_unique<diff_command>());
    commands.push_back(std::make_unique<history_command>());
    commands.push_back(std::make_unique<withdraw_command>());
    commands.push_back(std::make_unique<rollout_command>());
    commands.push_back(std::make_unique<hash_key_command>());
    return commands;
}

} // namespace pollen
