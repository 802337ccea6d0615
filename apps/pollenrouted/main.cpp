#include "daemon.h"
#include "platform_daemon.h"

#include <base/error.h>
#include <config/fleet_document.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <unistd.h>

namespace {

enum exit_code {
    Clean = 0,
    RequestsCut = 1,
    BadUsage = 2,
    BadSettings = 3,
    CannotStart = 4,
};

struct command_line {
    std::string config;
    // Settings in the platform's own format; used when no other file is named.
    std::string platformConfig;
    bool check = false;
    bool version = false;
};

// Returns false after printing what is wrong.
bool parse(int argc, const char** argv, command_line& line)
{
    char* config = nullptr;
    int check = 0;
    int version = 0;
    const poptOption options[] = {
        { "config", 'c', POPT_ARG_STRING, &config, 0, "settings of this instance", "FILE" },
        { "check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr },
        { "version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("pollenrouted", argc, argv, options, 0), poptFreeContext);
    const int result = poptGetNextOpt(context.get());
    if (result < -1) {
        std::fprintf(stderr, "pollenrouted: %s: %s\n", poptBadOption(context.get(), 0), poptStrerror(result));
        return false;
    }
    line = { config ? config : "", "", check != 0, version != 0 };
    std::free(config);
    const char* nodeSettings = std::getenv(pollen::settingsVariable);
    line.platformConfig = nodeSettings ? nodeSettings : "";
    if (!line.version && line.config.empty() && line.platformConfig.empty()) {
        std::fprintf(stderr, "pollenrouted: --config FILE or %s is required; see --help\n", pollen::settingsVariable);
        return false;
    }
    return true;
}

int serveOnPlatform(const command_line& line)
{
    const std::string& file = line.platformConfig;
    const pollen::node_settings settings = pollen::parseNodeSettings(pollen::readFile(file), file);
    if (line.check) {
        std::printf("%s: settings are valid\n", file.c_str());
        return Clean;
    }
    const pollen::os_clock clock;
    pollen::json_logger logger(STDOUT_FILENO, pollen::log_level::Info, settings.id.text(), clock);
    return pollen::platform_daemon(settings, file, logger, clock).run() ? Clean : RequestsCut;
}

int serve(const command_line& line)
{
    const pollen::daemon_settings settings = pollen::parseDaemonSettings(pollen::readFile(line.config), line.config);
    if (settings.fleetFile)
        pollen::parseFleetDocument(pollen::readFile(*settings.fleetFile), *settings.fleetFile);
    if (line.check) {
        std::printf("%s: settings are valid\n", line.config.c_str());
        return Clean;
    }
    const pollen::os_clock clock;
    pollen::json_logger logger(STDERR_FILENO, settings.logLevel, settings.id.text(), clock);
    return pollen::daemon(settings, logger, clock).run() ? Clean : RequestsCut;
}

} // namespace

int main(int argc, const char** argv)
{
    // The signal to reload must not end a process that does not handle it yet.
    std::signal(SIGHUP, SIG_IGN);
    command_line line;
    if (!parse(argc, argv, line))
        return BadUsage;
    if (line.version) {
        std::printf("pollenrouted %s\n", POLLEN_VERSION);
        return Clean;
    }
    try {
        return line.config.empty() ? serveOnPlatform(line) : serve(line);
    } catch (const pollen::settings_error& problem) {
        std::fprintf(stderr, "pollenrouted: %s\n", problem.what());
        return BadSettings;
    } catch (const pollen::error& problem) {
        std::fprintf(stderr, "pollenrouted: %s\n", problem.what());
        return CannotStart;
    }
}
