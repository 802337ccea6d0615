#include <cstdio>
#include <cstdlib>
#include <ctl/command.h>
#include <iostream>
#include <popt.h>

namespace {

using namespace pollen;

// Values as popt fills them in; text is owned by popt's caller.
struct raw_options {
    char* log = nullptr;
    char* daemons = nullptr;
    char* author = nullptr;
    char* reason = nullptr;
    char* base = nullptr;
    char* share = nullptr;
    char* reinstate = nullptr;
    int json = 0;
    int version = 0;
};

std::string textOf(const char* value, const char* environmentName, const char* otherwise)
{
    if (value)
        return value;
    const char* environment = environmentName ? std::getenv(environmentName) : nullptr;
    return environment ? environment : otherwise;
}

std::vector<std::string> splitAtCommas(const std::string& text)
{
    std::vector<std::string> parts;
    for (size_t start = 0; start < text.size();) {
        const size_t comma = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, comma - start));
        start = comma + 1;
    }
    return parts;
}

template <typename Number> Number parseNumber(const char* text, const char* option)
{
    char* end = nullptr;
    const double value = std::strtod(text, &end);
    if (end == text || *end != '\0' || value < 0)
        throw ctl_error(ctl_exit::Usage, std::string(option) + " needs a number, not '" + text + "'");
    return static_cast<Number>(value);
}

ctl_arguments toArguments(const raw_options& raw)
{
    ctl_arguments arguments;
    try {
        const std::string log = textOf(raw.log, "POLLEN_LOG", "");
        if (!log.empty())
            arguments.log = parseEndpoint(log);
        for (const std::string& daemon : splitAtCommas(textOf(raw.daemons, "POLLEN_DAEMONS", "")))
            arguments.daemons.push_back(parseEndpoint(daemon));
    } catch (const endpoint_error& problem) {
        throw ctl_error(ctl_exit::Usage, problem.what());
    }
    arguments.json = raw.json != 0;
    arguments.author = textOf(raw.author, "USER", "unknown");
    arguments.reason = textOf(raw.reason, nullptr, "");
    if (raw.base)
        arguments.base = parseNumber<uint64_t>(raw.base, "--base");
    if (raw.share)
        arguments.sharePercent = parseNumber<double>(raw.share, "--share");
    for (const std::string& version : splitAtCommas(textOf(raw.reinstate, nullptr, "")))
        arguments.reinstate.push_back(parseVersionRef(version));
    return arguments;
}

std::string commandHelp(const std::vector<std::unique_ptr<command>>& commands)
{
    std::string text = "COMMAND [OPERAND]\n\nCommands:\n";
    for (const auto& command : commands) {
        std::string line = "  " + command->name() + " " + command->operands();
        constexpr size_t column = 28;
        line.resize(std::max(line.size() + 1, column), ' ');
        text += line + command->help() + "\n";
    }
    text += "\nExit codes: 0 done, 1 refused or not found, 2 wrong usage, 3 bad input, 4 not reached.";
    return text;
}

int run(const std::vector<std::unique_ptr<command>>& commands, const ctl_arguments& arguments, const std::string& name)
{
    for (const auto& command : commands) {
        if (command->name() != name)
            continue;
        const size_t operands = arguments.operands.size();
        if (operands < command->operandCount() || operands > command->maximumOperandCount())
            throw ctl_error(ctl_exit::Usage, "usage: pollenctl " + name + " " + command->operands());
        command->run(arguments, std::cout);
        return static_cast<int>(ctl_exit::Ok);
    }
    throw ctl_error(ctl_exit::Usage, "there is no command '" + name + "'; see pollenctl --help");
}

int runCommandLine(int argc, const char** argv)
{
    raw_options raw;
    const poptOption options[] = {
        { "log", 0, POPT_ARG_STRING, &raw.log, 0, "the platform's log (or POLLEN_LOG)", "ADDRESS:PORT" },
        { "daemons", 0, POPT_ARG_STRING, &raw.daemons, 0, "operator addresses (or POLLEN_DAEMONS)", "A:P,B:P" },
        { "json", 0, POPT_ARG_NONE, &raw.json, 0, "print JSON lines", nullptr },
        { "author", 0, POPT_ARG_STRING, &raw.author, 0, "who makes the change (or USER)", "NAME" },
        { "reason", 0, POPT_ARG_STRING, &raw.reason, 0, "why the change is made", "TEXT" },
        { "base", 0, POPT_ARG_STRING, &raw.base, 0, "version that the change was made from", "VERSION" },
        { "share", 0, POPT_ARG_STRING, &raw.share, 0, "share of a roll-out", "PERCENT" },
        { "reinstate", 0, POPT_ARG_STRING, &raw.reinstate, 0, "withdrawn versions to put back", "M/V,M/V" },
        { "version", 0, POPT_ARG_NONE, &raw.version, 0, "print the version and exit", nullptr },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::vector<std::unique_ptr<command>> commands = makeCommands(std::cin);
    const std::string help = commandHelp(commands);
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("pollenctl", argc, argv, options, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), help.c_str());
    const int result = poptGetNextOpt(context.get());
    if (result < -1)
        throw ctl_error(ctl_exit::Usage, std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result));
    if (raw.version != 0) {
        std::cout << "pollenctl " << POLLEN_VERSION << '\n';
        return static_cast<int>(ctl_exit::Ok);
    }
    const char* name = poptGetArg(context.get());
    if (!name)
        throw ctl_error(ctl_exit::Usage, "give a command; see pollenctl --help");
    ctl_arguments arguments = toArguments(raw);
    while (const char* operand = poptGetArg(context.get()))
        arguments.operands.emplace_back(operand);
    return run(commands, arguments, name);
}

} // namespace

int main(int argc, const char** argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const ctl_error& problem) {
        std::cerr << "pollenctl: " << problem.what() << '\n';
        return static_cast<int>(problem.code());
    } catch (const error& problem) {
        std::cerr << "pollenctl: " << problem.what() << '\n';
        return static_cast<int>(ctl_exit::BadInput);
    }
}
