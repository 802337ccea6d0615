#include "demo_plan.h"

#include <arpa/inet.h>
#include <base/error.h>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr const char* sessionSecret = "demo-secret-demo-secret";
constexpr int domainCount = 4;

struct version_plan {
    const char* version;
    int tokenMicroseconds;
    int replicas;
};

// Holds each port until all are taken, so that no port is given out twice.
class port_pool {
public:
    ~port_pool()
    {
        for (const int socket : m_sockets)
            ::close(socket);
    }

    endpoint take()
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        if (socket < 0 || ::bind(socket, generic, length) != 0)
            throw system_error("no free port", errno);
        ::getsockname(socket, generic, &length);
        m_sockets.push_back(socket);
        return { "127.0.0.1", ntohs(address.sin_port) };
    }

private:
    std::vector<int> m_sockets;
};

std::string domainOf(const std::string& fleet, int index)
{
    std::string name = fleet + "-";
    name += static_cast<char>('a' + index % domainCount);
    return name;
}

planned_fleet makeFleet(
    port_pool& ports, const std::string& name, const std::string& service, const std::vector<version_plan>& versions)
{
    planned_fleet fleet { name, ports.take(), ports.take(), ports.take(), {}, {} };
    for (int i = 0; i < domainCount; ++i)
        fleet.daemons.push_back(
            { name + "-entry-" + std::to_string(i + 1), domainOf(name, i), ports.take(), ports.take(), ports.take() });
    int number = 0;
    for (const version_plan& version : versions) {
        for (int i = 0; i < version.replicas; ++i, ++number)
            fleet.backends.push_back({ name + "-engine-" + std::to_string(number + 1), domainOf(name, number),
                ports.take(), { version.version }, "", version.tokenMicroseconds * (10 + i * 3) / 10 });
    }
    const std::string servicePrefix = name + "-" + service + "-";
    for (int i = 0; i < domainCount; ++i)
        fleet.backends.push_back(
            { servicePrefix + std::to_string(i + 1), domainOf(name, i), ports.take(), {}, service, 0 });
    return fleet;
}

std::string quoted(const std::vector<std::string>& texts) { return nlohmann::json(texts).dump(); }

void writeStandins(const planned_fleet& fleet, const std::string& path)
{
    std::ofstream out(path);
    out << "[log]\naddress = \"" << fleet.log.text() << "\"\n\n[instances]\naddress = \"" << fleet.instances.text()
        << "\"\n\n[ratings]\naddress = \"" << fleet.ratings.text() << "\"\n";
    for (const planned_backend& backend : fleet.backends) {
        out << "\n[[" << (backend.service.empty() ? "engine" : "service") << "]]\nid = \"" << backend.id
            << "\"\nfailure_domain = \"" << backend.failureDomain << "\"\naddress = \"" << backend.address.text()
            << "\"\n";
        if (backend.service.empty())
            out << "versions = " << quoted(backend.versions) << "\ntoken_us = " << backend.tokenMicroseconds << "\n";
        else
            out << "service = \"" << backend.service << "\"\ndelay_ms = 5\n";
    }
    for (const planned_daemon& daemon : fleet.daemons)
        out << "\n[[router]]\nid = \"" << daemon.id << "\"\nfailure_domain = \"" << daemon.failureDomain
            << "\"\naddress = \"" << daemon.peers.text() << "\"\n";
}

void writeDaemon(const planned_fleet& fleet, const planned_daemon& daemon, const std::string& path)
{
    std::ofstream out(path);
    out << "[daemon]\nid = \"" << daemon.id << "\"\nfailure_domain = \"" << daemon.failureDomain
        << "\"\nsession_secret = \"" << sessionSecret << "\"\n\n[listen]\ncallers = \"" << daemon.callers.text()
        << "\"\noperators = \"" << daemon.operators.text() << "\"\npeers = \"" << daemon.peers.text()
        << "\"\n\n[platform]\nlog = \"" << fleet.log.text() << "\"\ninstances = \"" << fleet.instances.text()
        << "\"\nratings = \"" << fleet.ratings.text() << "\"\n";
}

nlohmann::json toJson(const planned_fleet& fleet)
{
    nlohmann::json json { { "name", fleet.name }, { "log", fleet.log.text() }, { "instances", fleet.instances.text() },
        { "ratings", fleet.ratings.text() } };
    for (const planned_daemon& daemon : fleet.daemons)
        json["daemons"].push_back(
            { { "id", daemon.id }, { "failure_domain", daemon.failureDomain }, { "callers", daemon.callers.text() },
                { "operators", daemon.operators.text() }, { "peers", daemon.peers.text() } });
    for (const planned_backend& backend : fleet.backends)
        json["backends"].push_back({ { "id", backend.id }, { "failure_domain", backend.failureDomain },
            { "address", backend.address.text() }, { "versions", backend.versions }, { "service", backend.service } });
    return json;
}

planned_fleet fromJson(const nlohmann::json& json)
{
    planned_fleet fleet { json["name"], parseEndpoint(json["log"]), parseEndpoint(json["instances"]),
        parseEndpoint(json["ratings"]), {}, {} };
    for (const auto& daemon : json["daemons"])
        fleet.daemons.push_back({ daemon["id"], daemon["failure_domain"], parseEndpoint(daemon["callers"]),
            parseEndpoint(daemon["operators"]), parseEndpoint(daemon["peers"]) });
    for (const auto& backend : json["backends"])
        fleet.backends.push_back({ backend["id"], backend["failure_domain"], parseEndpoint(backend["address"]),
            backend["versions"], backend["service"], 0 });
    return fleet;
}

} // namespace

std::vector<planned_fleet> makePlan()
{
    port_pool ports;
    return {
        makeFleet(ports, "tausi", "orders",
            { { "scribe/v3", 2500, 2 }, { "scribe/v4", 2200, 1 }, { "clerk/v1", 1500, 2 }, { "clerk/v2", 1500, 2 },
                { "horn/v1", 800, 2 } }),
        makeFleet(ports, "razai", "desk",
            { { "karigar/v2", 2600, 2 }, { "karigar/v3", 2400, 3 }, { "tagai/v1", 1000, 3 }, { "tagai/v2", 900, 1 } })
    };
}

void writePlan(const std::vector<planned_fleet>& plan, const std::string& directory)
{
    auto json = nlohmann::json::array();
    for (const planned_fleet& fleet : plan) {
        json.push_back(toJson(fleet));
        writeStandins(fleet, directory + "/standins-" + fleet.name + ".toml");
        for (const planned_daemon& daemon : fleet.daemons)
            writeDaemon(fleet, daemon, directory + "/daemon-" + daemon.id + ".toml");
    }
    std::ofstream(directory + "/plan.json") << json.dump(2) << '\n';
}

std::vector<planned_fleet> readPlan(const std::string& directory)
{
    std::ifstream in(directory + "/plan.json");
    std::vector<planned_fleet> plan;
    for (const auto& fleet : nlohmann::json::parse(in))
        plan.push_back(fromJson(fleet));
    return plan;
}

} // namespace pollen
