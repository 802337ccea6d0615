#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollen {

// What may be repeated on a route.
enum class repeat_rule {
    Idempotent,
    NonIdempotent,
};

// A share of a route's requests that goes to one service.
struct route_target {
    service_name service;
    uint32_t weight = 1;

    friend bool operator==(const route_target&, const route_target&) = default;
};

struct relay_route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    repeat_rule repeat = repeat_rule::NonIdempotent;
    bool streaming = false;
    // A broken stream may be continued on another server after its last whole event.
    bool resumable = false;
    // Longest time that a caller is kept waiting.
    duration timeout { 0 };
    // Time within which an answer, or the first event of a stream, is on time.
    duration latencyObjective { 0 };
    // 0 is the most urgent.
    int priority = 0;
    // No key is needed.
    bool isPublic = false;
    // Servers that one request may be sent to.
    uint32_t maximumAttempts = 1;
    // Models that may answer, smallest first; empty where the caller names the model.
    std::vector<model_name> models;
    std::vector<route_target> targets;

    // It may run again after it has run or may have run.
    bool mayRepeat() const { return repeat == repeat_rule::Idempotent || resumable; }

    friend bool operator==(const relay_route&, const relay_route&) = default;
};

// What an engine service says of each of its servers.
struct engine_limits {
    uint32_t slots = 0;
    // Tokens that fit into the memory for prompts.
    uint64_t cacheTokens = 0;

    friend bool operator==(const engine_limits&, const engine_limits&) = default;
};

struct relay_service {
    service_name name;
    // Connections that one server accepts from all daemons together.
    uint32_t maximumConnections = 0;
    std::optional<engine_limits> engine;

    friend bool operator==(const relay_service&, const relay_service&) = default;
};

struct relay_team {
    team_name name;
    std::vector<std::string> keys;
    // Goes before the priority of the route.
    std::optional<int> priority;

    friend bool operator==(const relay_team&, const relay_team&) = default;
};

struct caller_limits {
    size_t maximumHeaderBytes = 16U << 10;
    size_t maximumBodyBytes = 4U << 20;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

// What operators publish for the relay: routes, services and teams. Never changed once made.
struct relay_configuration {
    uint64_t version = 0;
    std::vector<relay_route> routes;
    std::vector<relay_service> services;
    caller_limits limits;
    // None where requests carry no keys.
    std::optional<std::vector<relay_team>> teams;

    friend bool operator==(const relay_configuration&, const relay_configuration&) = default;
};

// A configuration with the indexes that requests are looked up in.
class indexed_configuration {
public:
    explicit indexed_configuration(relay_configuration configuration);

    const relay_configuration& configuration() const { return m_configuration; }

    // The route of that host with the longest prefix of the path; null when there is none.
    const relay_route* findRoute(const std::string& host, std::string_view path) const;

    // Null for an unknown key.
    const relay_team* findTeam(const std::string& key) const;

    const relay_service* findService(const service_name& name) const;

private:
    relay_configuration m_configuration;
    // By host and prefix, one after the other.
    std::unordered_map<std::string, size_t> m_routes;
    std::unordered_map<std::string, size_t> m_teamsByKey;
    std::unordered_map<service_name, size_t> m_services;
};

} // namespace pollen
