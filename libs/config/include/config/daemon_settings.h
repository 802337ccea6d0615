#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <base/logger.h>
#include <base/typed_id.h>
#include <config/settings_error.h>
#include <optional>
#include <string>

namespace pollen {

// Where this instance finds the platform's services. Without them the fleet file takes their place.
struct platform_settings {
    endpoint log;
    endpoint instances;
    std::optional<endpoint> ratings;

    friend bool operator==(const platform_settings&, const platform_settings&) = default;
};

struct limit_settings {
    size_t maximumHeaderBytes = 16U << 10;
    size_t maximumBodyBytes = 1U << 20;
    // Bytes held for a caller that reads slowly before reading from the backend server pauses.
    size_t streamBufferBytes = 256U << 10;
    int64_t maximumRequests = 4096;
    // Attempts for one request on different backend servers, the first included.
    int64_t maximumAttempts = 3;
    duration requestTimeout = std::chrono::seconds(60);
    duration connectTimeout = std::chrono::milliseconds(500);
    // How long a stopping instance goes on accepting, so that the balancer can turn away from it.
    duration drainGrace = std::chrono::seconds(1);
    // Longest time a stopping instance waits for requests in flight.
    duration drainTimeout = std::chrono::seconds(120);
    // Memory that the process may use; the limits over all connections derive from it.
    size_t memoryBytes = 256U << 20;
    // File descriptors that the process may use; empty for the system's limit.
    std::optional<size_t> descriptors {};

    friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

// Settings of one instance, read once at start.
struct daemon_settings {
    instance_id id;
    failure_domain_name failureDomain;
    // Signs session tokens; the same in all instances.
    std::string sessionSecret;
    log_level logLevel = log_level::Info;
    endpoint callers;
    endpoint operators;
    std::optional<endpoint> peers;
    std::optional<platform_settings> platform;
    // Path of a fleet document that takes the place of the platform.
    std::optional<std::string> fleetFile;
    limit_settings limits;

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

// Parses settings; file names the source in errors. Throws settings_error.
daemon_settings parseDaemonSettings(const std::string& text, const std::string& file);

// Reads a whole file; throws settings_error when it cannot be read.
std::string readFile(const std::string& path);

} // namespace pollen
