#include <config/daemon_settings.h>

#include <config/toml_section.h>

#include <fstream>
#include <iterator>

namespace pollen {

namespace {

constexpr size_t minimumSecretLength = 16;

log_level readLevel(toml_section& section)
{
    const std::string text = section.text("log_level", "info");
    if (text == "debug")
        return log_level::Debug;
    if (text == "info")
        return log_level::Info;
    if (text == "warning")
        return log_level::Warning;
    if (text == "error")
        return log_level::Error;
    section.fail(settings_problem::BadValue, "log_level", "must be debug, info, warning or error");
}

void readDaemon(toml_section section, daemon_settings& settings)
{
    settings.id = instance_id(section.text("id"));
    settings.failureDomain = failure_domain_name(section.text("failure_domain"));
    settings.sessionSecret = section.text("session_secret");
    if (settings.sessionSecret.size() < minimumSecretLength)
        section.fail(settings_problem::BadValue, "session_secret", "must have at least 16 characters");
    settings.logLevel = readLevel(section);
    section.finish();
}

void readListen(toml_section section, daemon_settings& settings)
{
    settings.callers = section.address("callers");
    settings.operators = section.address("operators");
    if (section.has("peers"))
        settings.peers = section.address("peers");
    if (settings.callers == settings.operators && settings.callers.port != 0)
        section.fail(settings_problem::Contradiction, "operators", "is the same address as callers");
    section.finish();
}

platform_settings readPlatform(toml_section section)
{
    platform_settings platform;
    platform.log = section.address("log");
    platform.instances = section.address("instances");
    if (section.has("ratings"))
        platform.ratings = section.address("ratings");
    section.finish();
    return platform;
}

limit_settings readLimits(toml_section section)
{
    constexpr int64_t mostRequests = 1000000;
    constexpr int64_t mostAttempts = 10;
    constexpr int64_t mostDescriptors = 1000000;
    limit_settings limits;
    limits.maximumHeaderBytes = section.bytes("maximum_header", limits.maximumHeaderBytes);
    limits.maximumBodyBytes = section.bytes("maximum_body", limits.maximumBodyBytes);
    limits.streamBufferBytes = section.bytes("stream_buffer", limits.streamBufferBytes);
    limits.maximumRequests = section.integer("maximum_requests", limits.maximumRequests, 1, mostRequests);
    limits.maximumAttempts = section.integer("maximum_attempts", limits.maximumAttempts, 1, mostAttempts);
    limits.memoryBytes = section.bytes("memory", limits.memoryBytes);
    if (section.has("descriptors"))
        limits.descriptors = section.integer("descriptors", 0, 1, mostDescriptors);
    limits.requestTimeout = section.span("request_timeout", limits.requestTimeout);
    limits.connectTimeout = section.span("connect_timeout", limits.connectTimeout);
    limits.drainGrace = section.span("drain_grace", limits.drainGrace);
    limits.drainTimeout = section.span("drain_timeout", limits.drainTimeout);
    if (limits.connectTimeout > limits.requestTimeout)
        section.fail(settings_problem::Contradiction, "connect_timeout", "is longer than request_timeout");
    if (limits.drainGrace > limits.drainTimeout)
        section.fail(settings_problem::Contradiction, "drain_grace", "is longer than drain_timeout");
    section.finish();
    return limits;
}

} // namespace

std::string readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        throw settings_error(settings_problem::Unreadable, path, 0, "file", "cannot be opened");
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

daemon_settings parseDaemonSettings(const std::string& text, const std::string& file)
{
    const toml::table document = parseToml(text, file);
    toml_section root(document, file, "");
    daemon_settings settings;
    readDaemon(root.section("daemon"), settings);
    readListen(root.section("listen"), settings);
    if (auto section = root.optionalSection("platform"))
        settings.platform = readPlatform(*section);
    if (root.has("fleet_file"))
        settings.fleetFile = root.text("fleet_file");
    if (auto section = root.optionalSection("limits"))
        settings.limits = readLimits(*section);
    root.finish();
    if (settings.platform && settings.fleetFile)
        root.fail(settings_problem::Contradiction, "fleet_file", "cannot be combined with [platform]");
    if (!settings.platform && !settings.fleetFile)
        root.fail(settings_problem::MissingKey, "platform", "either [platform] or fleet_file is required");
    return settings;
}

} // namespace pollen
