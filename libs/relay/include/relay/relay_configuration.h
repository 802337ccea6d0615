#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <scheduling/relay_service.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollen {

// Whether the requests of a route may safely run more than once.
enum class repeat_rule {
    Idempotent,
    NonIdempotent,
};

// One service of a route. It receives a share of the route's requests in proportion to its weight.
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
    // A broken stream may be resumed on another server after its last complete event.
    bool resumable = false;
    // Maximum time until a request's deadline; zero for no limit.
    duration timeout { 0 };
    // An answer, or the first event of a stream, that takes longer than this is late.
    duration latencyObjective { 0 };
    // 0 is the most urgent, 9 the least. A team's own priority takes precedence.
    int priority = 0;
    // Requests need no key.
    bool isPublic = false;
    // Maximum number of attempts for a request. Attempts that certainly did not run do not count.
    uint32_t maximumAttempts = 1;
    // Models that the router may choose from, smallest first; empty where the caller names the model.
    std::vector<model_name> models;
    std::vector<route_target> targets;

    // A request may be sent again although it has run, or may have run, on a server.
    bool mayRepeat() const { return repeat == repeat_rule::Idempotent || resumable; }

    friend bool operator==(const relay_route&, const relay_route&) = default;
};

struct relay_team {
    team_name name;
    std::vector<std::string> keys;
    // Overrides the priority of the route.
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

// The routes, services and teams that operators publish for the relay. Immutable once parsed.
struct relay_configuration {
    uint64_t version = 0;
    std::vector<relay_route> routes;
    std::vector<relay_service> services;
    caller_limits limits;
    // None if requests are not authenticated by keys.
    std::optional<std::vector<relay_team>> teams;

    friend bool operator==(const relay_configuration&, const relay_configuration&) = default;
};

// A configuration with indexes for looking up routes, teams and services.
class indexed_configuration {
public:
    explicit indexed_configuration(relay_configuration configuration);

    const relay_configuration& configuration() const { return m_configuration; }

    // The route of the host with the longest matching path prefix, or null.
    const relay_route* findRoute(const std::string& host, std::string_view path) const;

    // Null for an unknown key.
    const relay_team* findTeam(const std::string& key) const;

    const relay_service* findService(const service_name& name) const;

private:
    relay_configuration m_configuration;
    // The key is the host followed by the path prefix.
    std::unordered_map<std::string, size_t> m_routes;
    std::unordered_map<std::string, size_t> m_teamsByKey;
    std::unordered_map<service_name, size_t> m_services;
};

} // namespace pollen
