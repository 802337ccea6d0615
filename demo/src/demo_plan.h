#pragma once

#include <base/endpoint.h>
#include <string>
#include <vector>

namespace pollen {

struct planned_daemon {
    std::string id;
    std::string failureDomain;
    endpoint callers;
    endpoint operators;
    endpoint peers;
};

struct planned_backend {
    std::string id;
    std::string failureDomain;
    endpoint address;
    std::vector<std::string> versions;
    // Empty for an engine.
    std::string service;
    // Microseconds for each generated token.
    int tokenMicroseconds = 0;
};

// One fleet of the demo: its daemons and the stand-ins around them.
struct planned_fleet {
    std::string name;
    endpoint log;
    endpoint instances;
    endpoint ratings;
    std::vector<planned_daemon> daemons;
    std::vector<planned_backend> backends;
};

// Both deployments at today's size on free ports of the loopback interface.
std::vector<planned_fleet> makePlan();

// Writes standins-FLEET.toml, daemon-ID.toml and plan.json into a directory.
void writePlan(const std::vector<planned_fleet>& plan, const std::string& directory);

// Reads plan.json.
std::vector<planned_fleet> readPlan(const std::string& directory);

} // namespace pollen
