#include "command_lists.h"

#include "platform_session.h"

#include <control/bill_ledger.h>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace pollen {

namespace {

void requireDaemons(const ctl_arguments& arguments)
{
    if (arguments.daemons.empty())
        throw ctl_error(ctl_exit::Usage, "give operator addresses with --daemons A:P,B:P or POLLEN_DAEMONS");
}

class status_command final : public command {
public:
    std::string name() const override { return "status"; }
    std::string operands() const override { return ""; }
    std::string help() const override { return "ask every daemon for its state"; }
    size_t operandCount() const override { return 0; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        requireDaemons(arguments);
        platform_session session(arguments);
        bool allReached = true;
        for (const endpoint& daemon : arguments.daemons) {
            const auto response = session.get(daemon, "/admin/status");
            allReached = allReached && response;
            print(daemon, response, arguments.json, out);
        }
        if (!allReached)
            throw ctl_error(ctl_exit::Unreachable, "not every daemon could be reached");
    }

private:
    static void print(
        const endpoint& daemon, const std::optional<http_response>& response, bool json, std::ostream& out)
    {
        if (!response) {
            if (json)
                out << nlohmann::json { { "address", daemon.text() }, { "reached", false } }.dump() << '\n';
            else
                out << daemon.text() << "  not reached\n";
            return;
        }
        if (json) {
            out << response->body << '\n';
            return;
        }
        const auto status = nlohmann::json::parse(response->body, nullptr, false);
        if (!status.is_object())
            throw ctl_error(ctl_exit::BadInput, daemon.text() + " did not answer with a status");
        size_t peersAlive = 0;
        for (const auto& peer : status.value("peers", nlohmann::json::array()))
            peersAlive += peer.value("alive", false) ? 1 : 0;
        size_t serversTakingWork = 0;
        for (const auto& server : status.value("backend_servers", nlohmann::json::array()))
            serversTakingWork += server.value("takes_work", false) ? 1 : 0;
        out << status.value("id", "") << "  " << status.value("failure_domain", "") << "  "
            << (status.value("draining", false)       ? "draining"
                       : status.value("ready", false) ? "ready"
                                                      : "not ready")
            << "  configuration " << status.value("configuration_version", 0) << "  requests "
            << status.value("open_requests", 0) << "  servers " << serversTakingWork << "  peers " << peersAlive
            << "  bills waiting " << status["bills"].value("waiting", 0) << '\n';
    }
};

class explain_command final : public command {
public:
    std::string name() const override { return "explain"; }
    std::string operands() const override { return "REQUEST"; }
    std::string help() const override { return "tell why a request went where it went"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        requireDaemons(arguments);
        platform_session session(arguments);
        for (const endpoint& daemon : arguments.daemons) {
            const auto response = session.get(daemon, "/admin/explain/" + arguments.operands[0]);
            if (!response || response->status != 200)
                continue;
            if (arguments.json)
                out << response->body << '\n';
            else
                print(nlohmann::json::parse(response->body), out);
            return;
        }
        throw ctl_error(ctl_exit::Refused, "no daemon that could be reached remembers this request");
    }

private:
    static void print(const nlohmann::json& explanation, std::ostream& out)
    {
        out << "request " << explanation.value("request", "") << '\n';
        for (const auto& step : explanation["steps"]) {
            out << "  " << step.value("time_ms", 0LL) << "  " << step.value("event", "") << "  "
                << step.value("detail", "") << '\n';
            if (step.contains("decision"))
                printDecision(step["decision"], out);
        }
    }

    static void printDecision(const nlohmann::json& decision, std::ostream& out)
    {
        out << "    " << decision.value("outcome", "") << ' ' << decision.value("version", "") << " on "
            << decision.value("server", "-") << " because " << decision.value("reason", "-") << '\n';
        for (const auto& candidate : decision["candidates"])
            out << "      " << std::left << std::setw(24) << candidate.value("version", "")
                << " excluded: " << std::setw(22) << candidate.value("excluded", "") << " cost "
                << candidate.value("predicted_cost", 0.0) << "  quality " << candidate.value("expected_quality", 0.0)
                << "  " << candidate.value("predicted_ms", 0LL) << " ms\n";
    }
};

class bills_command final : public command {
public:
    std::string name() const override { return "bills"; }
    std::string operands() const override { return ""; }
    std::string help() const override { return "total the bills in the log by team and version"; }
    size_t operandCount() const override { return 0; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        platform_session session(arguments);
        struct total {
            size_t requests = 0;
            uint64_t promptTokens = 0;
            uint64_t outputTokens = 0;
            double cost = 0;
        };
        std::map<std::pair<team_name, std::string>, total> totals;
        std::set<std::string> seen;
        for (const log_record& record : session.readAll(billStream)) {
            const bill bill = decode(record);
            if (!seen.insert(bill.id).second)
                continue;
            total& entry = totals[{ bill.team, bill.target }];
            ++entry.requests;
            entry.promptTokens += bill.promptTokens;
            entry.outputTokens += bill.outputTokens;
            entry.cost += bill.cost;
        }
        for (const auto& [key, entry] : totals) {
            const nlohmann::ordered_json json { { "team", key.first.text() }, { "target", key.second },
                { "requests", entry.requests }, { "prompt_tokens", entry.promptTokens },
                { "output_tokens", entry.outputTokens }, { "cost", entry.cost } };
            if (arguments.json)
                out << json.dump() << '\n';
            else
                out << std::left << std::setw(20) << key.first.text() << std::setw(24) << key.second << std::right
                    << std::setw(8) << entry.requests << " requests" << std::setw(12) << entry.outputTokens
                    << " tokens  cost " << entry.cost << '\n';
        }
    }

private:
    static bill decode(const log_record& record)
    {
        try {
            return decodeBill(record.value);
        } catch (const record_error& problem) {
            throw ctl_error(ctl_exit::BadInput,
                "bill at offset " + std::to_string(record.offset) + " cannot be read: " + problem.what());
        }
    }
};

} // namespace

std::vector<std::unique_ptr<command>> makeInspectionCommands()
{
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(std::make_unique<status_command>());
    commands.push_back(std::make_unique<explain_command>());
    commands.push_back(std::make_unique<bills_command>());
    return commands;
}

} // namespace pollen
