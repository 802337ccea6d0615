#include "command_lists.h"

#include "fleet_log.h"

#include <ctime>
#include <iomanip>
#include <map>

namespace pollen {

namespace {

// Changes of what a daemon believes that are shown with a request, before its end.
constexpr int64_t contextMilliseconds = 5000;
constexpr size_t mostContextLines = 12;

std::string clockTime(int64_t milliseconds)
{
    constexpr int64_t perSecond = 1000;
    const std::time_t seconds = milliseconds / perSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%H:%M:%S") << '.' << std::setw(3) << std::setfill('0') << milliseconds % perSecond;
    return text.str();
}

void print(const fleet_log_line& line, std::ostream& out)
{
    out << clockTime(line.milliseconds) << "  " << line.daemon << "  " << line.event;
    for (const auto& [name, value] : line.fields.items()) {
        if (name == "time_ms" || name == "source" || name == "event" || name == "level")
            continue;
        const std::string text = line.field(name);
        if (!text.empty())
            out << ' ' << name << '=' << text;
    }
    out << '\n';
}

void reportUnreadable(const fleet_log& log, std::ostream& out)
{
    if (log.unreadable > 0)
        out << log.unreadable << " lines could not be read\n";
}

bool isRequest(const fleet_log_line& line) { return line.event == "request_ended"; }

bool isServed(const fleet_log_line& line) { return line.field("outcome") == "answered"; }

class explain_command final : public command {
public:
    explicit explain_command(std::istream& input)
        : m_input(input)
    {
    }

    std::string name() const override { return "explain-log"; }
    std::string operands() const override { return "REQUEST"; }
    std::string help() const override { return "why a request ended as it did, from daemons' logs on standard input"; }
    size_t operandCount() const override { return 1; }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        const std::string& request = arguments.operands.front();
        const fleet_log log = readFleetLog(m_input);
        reportUnreadable(log, out);
        bool found = false;
        for (const fleet_log_line& line : log.lines) {
            if (!isRequest(line) || line.field("request") != request)
                continue;
            found = true;
            explain(log, line, out);
        }
        if (!found)
            throw ctl_error(ctl_exit::Refused,
                "no line about request " + request
                    + ": no daemon in these logs has read it, or its line went over the log's budget");
    }

private:
    static void explain(const fleet_log& log, const fleet_log_line& ended, std::ostream& out)
    {
        const std::string cause = isServed(ended) ? "it was served" : causeOf(ended);
        out << "request " << ended.field("request") << " on " << ended.daemon << ": " << ended.field("outcome")
            << " after " << ended.field("ms") << " ms\n"
            << "cause: " << (cause.empty() ? "not told by its line" : cause) << '\n';
        if (const std::string history = ended.field("history"); !history.empty())
            out << "attempts: " << history << '\n';
        out << "line: ";
        print(ended, out);
        printContext(log, ended, out);
    }

    // What the daemon learned shortly before, of the servers that were tried above all.
    static void printContext(const fleet_log& log, const fleet_log_line& ended, std::ostream& out)
    {
        const std::string history = ended.field("history");
        std::vector<const fleet_log_line*> context;
        for (const fleet_log_line& line : log.lines) {
            if (line.daemon != ended.daemon || isRequest(line) || line.milliseconds > ended.milliseconds
                || line.milliseconds < ended.milliseconds - contextMilliseconds)
                continue;
            const std::string server = line.field("server");
            if (!server.empty() && history.find(server) == std::string::npos)
                continue;
            context.push_back(&line);
        }
        if (context.empty())
            return;
        out << "the daemon learned in the " << contextMilliseconds << " ms before:\n";
        const size_t skipped = context.size() - std::min(context.size(), mostContextLines);
        for (size_t i = skipped; i < context.size(); ++i) {
            out << "  ";
            print(*context[i], out);
        }
    }

    std::istream& m_input;
};

class causes_command final : public command {
public:
    explicit causes_command(std::istream& input)
        : m_input(input)
    {
    }

    std::string name() const override { return "causes"; }
    std::string operands() const override { return ""; }
    std::string help() const override { return "count the causes of all requests that were not served, from logs"; }
    size_t operandCount() const override { return 0; }

    void run(const ctl_arguments&, std::ostream& out) override
    {
        const fleet_log log = readFleetLog(m_input);
        reportUnreadable(log, out);
        std::map<std::string, size_t> counts;
        size_t explained = 0;
        size_t unexplained = 0;
        for (const fleet_log_line& line : log.lines) {
            if (!isRequest(line) || isServed(line))
                continue;
            const std::string cause = causeOf(line);
            ++(cause.empty() ? unexplained : explained);
            ++counts[cause.empty() ? "not told: outcome " + line.field("outcome") + ", reason " + line.field("reason")
                                   : cause];
        }
        constexpr int countWidth = 7;
        for (const auto& [cause, count] : counts)
            out << std::setw(countWidth) << count << "  " << cause << '\n';
        out << explained << " explained, " << unexplained << " not\n";
        if (unexplained > 0)
            throw ctl_error(ctl_exit::Refused, "some requests ended for a reason that their lines do not tell");
    }

private:
    std::istream& m_input;
};

class timeline_command final : public command {
public:
    explicit timeline_command(std::istream& input)
        : m_input(input)
    {
    }

    std::string name() const override { return "timeline"; }
    std::string operands() const override { return ""; }
    std::string help() const override { return "what the fleet believed over time, second by second, from logs"; }
    size_t operandCount() const override { return 0; }

    void run(const ctl_arguments&, std::ostream& out) override
    {
        const fleet_log log = readFleetLog(m_input);
        reportUnreadable(log, out);
        // A line for each event of each second: how many daemons said it, and what was said last.
        std::map<int64_t, std::map<std::string, std::pair<std::map<std::string, size_t>, const fleet_log_line*>>>
            seconds;
        constexpr int64_t perSecond = 1000;
        for (const fleet_log_line& line : log.lines) {
            if (isRequest(line) && isServed(line))
                continue;
            std::string title = line.event;
            if (isRequest(line))
                title += " " + line.field("outcome") + " " + line.field("reason");
            auto& [daemons, last] = seconds[line.milliseconds / perSecond][title];
            ++daemons[line.daemon];
            last = &line;
        }
        for (const auto& [second, events] : seconds) {
            for (const auto& [title, said] : events) {
                size_t lines = 0;
                for (const auto& [daemon, count] : said.first)
                    lines += count;
                out << clockTime(second * perSecond).substr(0, 8) << "  " << title << ": " << lines << " from "
                    << said.first.size() << " daemons, last ";
                print(*said.second, out);
            }
        }
    }

private:
    std::istream& m_input;
};

} // namespace

std::vector<std::unique_ptr<command>> makeLogCommands(std::istream& input)
{
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(std::make_unique<explain_command>(input));
    commands.push_back(std::make_unique<causes_command>(input));
    commands.push_back(std::make_unique<timeline_command>(input));
    commands.push_back(makeEstimatesCommand(input));
    return commands;
}

} // namespace pollen
