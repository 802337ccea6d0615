#include "demo_report.h"

#include <cstdio>
#include <iostream>
#include <memory>
#include <popt.h>

namespace {

using namespace pollen;

struct command_line {
    std::string command;
    std::string directory;
    load_options load;
};

command_line parse(int argc, const char** argv)
{
    char* directory = nullptr;
    int seconds = 20;
    int rate = 60;
    int seed = 1;
    const poptOption options[] = {
        { "directory", 'd', POPT_ARG_STRING, &directory, 0, "where the plan and the results are", "PATH" },
        { "seconds", 0, POPT_ARG_INT, &seconds, 0, "length of the load", "N" },
        { "rate", 0, POPT_ARG_INT, &rate, 0, "requests a second for each fleet", "N" },
        { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the load", "N" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("pollen_demo", argc, argv, options, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "plan|load|report");
    const bool valid = poptGetNextOpt(context.get()) == -1;
    const char* command = poptGetArg(context.get());
    if (!valid || !command || !directory)
        return {};
    return { command, directory,
        { std::chrono::seconds(seconds), static_cast<double>(rate), static_cast<uint64_t>(seed) } };
}

int run(const command_line& line)
{
    if (line.command == "plan") {
        writePlan(makePlan(), line.directory);
        return 0;
    }
    const std::vector<planned_fleet> plan = readPlan(line.directory);
    const std::string results = line.directory + "/load.json";
    if (line.command == "load") {
        writeLoadResult(runLoad(plan, line.load), results);
        return 0;
    }
    if (line.command != "report")
        return 2;
    const auto events = readEvents(line.directory + "/events.txt");
    return printReport(plan, readLoadResult(results), events, std::cout) ? 0 : 1;
}

} // namespace

int main(int argc, const char** argv)
{
    const command_line line = parse(argc, argv);
    if (line.command.empty()) {
        std::fprintf(stderr, "pollen_demo: plan, load or report, with --directory PATH; see --help\n");
        return 2;
    }
    try {
        return run(line);
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "pollen_demo: %s\n", problem.what());
        return 1;
    }
}
