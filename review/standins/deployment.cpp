#include "deployment.h"

#include <fstream>
#include <http/http_client.h>
#include <netinet/in.h>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration startTimeout = std::chrono::seconds(15);
// As heartbeat-ms in the settings.
constexpr duration heartbeatInterval = std::chrono::milliseconds(1200);
constexpr duration readinessInterval = std::chrono::milliseconds(100);
constexpr uint16_t firstPort = 21000;
constexpr uint16_t portsOfAProcess = 8;
// Below the ports that the system gives out itself.
constexpr uint16_t processesWithOwnPorts = 1400;

bool isFree(uint16_t port)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_ANY);
    const bool isBound = ::bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(probe);
    return isBound;
}

// The first of the ports of this process. Cases that run side by side use ports of their own.
uint16_t findFirstPort()
{
    for (uint16_t i = 0; i < processesWithOwnPorts; ++i) {
        const auto number = static_cast<uint16_t>((::getpid() + i) % processesWithOwnPorts);
        const auto first = static_cast<uint16_t>(firstPort + number * portsOfAProcess);
        uint16_t freePorts = 0;
        while (freePorts < portsOfAProcess && isFree(static_cast<uint16_t>(first + freePorts)))
            ++freePorts;
        if (freePorts == portsOfAProcess)
            return first;
    }
    throw std::runtime_error("no free ports");
}

uint16_t portOf(uint16_t number)
{
    static const uint16_t first = findFirstPort();
    return static_cast<uint16_t>(first + number);
}

uint16_t callersPort() { return portOf(0); }
uint16_t readinessPort() { return portOf(1); }
uint16_t firstPeerPort() { return portOf(2); }

} // namespace

case_arguments parseCaseArguments(int count, char** values)
{
    constexpr int expected = 5;
    if (count != expected)
        throw std::runtime_error("usage: case DAEMON DIRECTORY RECORD TROUBLE");
    return { values[1], values[2], values[3], std::string(values[4]) != "0" };
}

deployment::deployment(
    event_loop& loop, const case_arguments& arguments, recorder& record, std::vector<machine> machines)
    : m_loop(loop)
    , m_record(record)
    , m_store(loop, { "127.0.0.1", 0 })
    , m_storeAddress(m_store.address())
    , m_directory(arguments.directory)
    , m_balancer(loop)
    , m_machines(std::move(machines))
    , m_born(wallMilliseconds())
    , m_heartbeat(loop, [this] {
        for (const auto& [id, server] : m_servers)
            writeEntry(id);
    })
{
    for (const machine& machine : m_machines) {
        const std::string file = m_directory + "/" + machine.id;
        m_daemons.push_back(std::make_unique<daemon_process>(arguments.daemonProgram, file + ".toml", file + ".log"));
    }
    writeSettings();
    m_heartbeat.startRepeating(heartbeatInterval);
}

void deployment::setStoreAddress(const endpoint& address)
{
    m_storeAddress = address;
    writeSettings();
}

void deployment::writeSettings()
{
    for (const machine& machine : m_machines)
        std::ofstream(m_directory + "/" + machine.id + ".toml") << settings(machine);
}

endpoint deployment::callersAddress(size_t index) const { return { m_machines[index].address, callersPort() }; }

void deployment::writeConfiguration(const std::string& text) { m_store.put("keyed.op", "config", text); }

void deployment::writeServer(const std::string& id, const std::string& service, const endpoint& address,
    const std::string& zone, unsigned slots, const std::string& version)
{
    m_servers[id].entry = { { "service", service }, { "address", address.text() }, { "zone", zone },
        { "version", version }, { "slots", slots }, { "state", "ready" }, { "cold-left-ms", 0 }, { "born", m_born } };
    writeEntry(id);
}

void deployment::writeEntry(const std::string& id)
{
    server_state& server = m_servers.at(id);
    server.entry["seq"] = ++server.heartbeats;
    m_store.put("keyed.servers", id, server.entry.dump());
}

void deployment::removeServer(const std::string& id)
{
    m_servers.erase(id);
    m_store.put("keyed.servers", id, std::nullopt);
}

void deployment::start()
{
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        m_daemons[i]->start();
        m_record.write("platform starts " + m_machines[i].id);
    }
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        const int64_t limit = nowMicroseconds() + startTimeout.count();
        while (!isReady(i)) {
            if (nowMicroseconds() > limit || !m_daemons[i]->isRunning())
                throw std::runtime_error(m_machines[i].id + " does not get ready");
            runFor(readinessInterval);
        }
        m_record.write(m_machines[i].id + " is ready");
    }
}

void deployment::restart(size_t index)
{
    m_daemons[index]->start();
    m_record.write("platform starts " + m_machines[index].id + " again");
}

void deployment::runFor(duration time)
{
    m_loop.runUntil([] { return false; }, time);
}

bool deployment::isReady(size_t index)
{
    std::optional<int> status;
    m_balancer.fetch({ m_machines[index].address, readinessPort() }, { "GET", "/api/ready", {}, "" }, {},
        [&](const exchange_result& result, const http_response& reply) { status = result.ok() ? reply.status : 0; });
    m_loop.runUntil([&] { return status.has_value(); }, startTimeout);
    return status == 200;
}

std::string deployment::settings(const machine& machine) const
{
    std::ostringstream text;
    text << "node = \"" << machine.id
         << "\"\nrole = \"router\"\nmachine-class = \"front\"\nserves = [\"front\"]\nip = \"" << machine.address
         << "\"\nzone = \"" << machine.zone << "\"\nregion = \"nairobi\"\nport-range = [" << firstPeerPort() << ","
         << portOf(portsOfAProcess - 1) << "]\nbootstrap = true\nheartbeat-ms = 1200\n"
         << "[listen]\nfront = \"" << machine.address << ":" << callersPort() << "\"\nready = \"" << machine.address
         << ":" << readinessPort()
         << "\"\n[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = " << machine.memoryMegabytes
         << "\nmax-fds = 4100\nlink-mbps = 1000.0\n[bounds]\nstable-window-ms = 3000\n"
         << "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n"
         << "strict-revoke = true\nrevoke-ms = 5000\nretry-ratio = 0.9\nretry-window-s = 10\nretry-slack = 52\n"
         << "exposure-share = 0.15\nexposure-slack = 30\nrollback-ms = 5000\nsession-s = 5\n[platform]\naddress = \""
         << m_storeAddress.text() << "\"\nform = \"log\"\nwrites-per-s = 400\nreads-per-s = 2000\n";
    return text.str();
}

} // namespace pollen
