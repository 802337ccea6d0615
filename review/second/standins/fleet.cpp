#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr pollen::duration readinessPatience = std::chrono::seconds(10);
constexpr pollen::duration readinessInterval = std::chrono::milliseconds(50);
// Host part of the store's address.
constexpr unsigned storeHost = 200;

} // namespace

std::string loopbackAddress(unsigned host)
{
    constexpr int lowest = 1;
    constexpr int highest = 250;
    const int process = ::getpid();
    return "127." + std::to_string(lowest + process % highest) + "."
        + std::to_string(lowest + process / highest % highest) + "." + std::to_string(host);
}

uint16_t freePort(const std::string& address)
{
    // Below the ports that the operating system gives to outgoing connections, so that a daemon can start again.
    constexpr int lowest = 12000;
    constexpr int highest = 30000;
    static int next = lowest + ::getpid() * 16 % (highest - lowest);
    for (int tries = 0; tries < highest - lowest; ++tries) {
        next = next + 1 < highest ? next + 1 : lowest;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in own {};
        own.sin_family = AF_INET;
        own.sin_port = htons(static_cast<uint16_t>(next));
        inet_pton(AF_INET, address.c_str(), &own.sin_addr);
        const bool isFree = ::bind(socket, reinterpret_cast<sockaddr*>(&own), sizeof own) == 0;
        ::close(socket);
        if (isFree)
            return static_cast<uint16_t>(next);
    }
    throw std::runtime_error("no free port on " + address);
}

fleet::fleet(std::string program, std::string directory, recorder& record, size_t memoryMegabytes)
    : m_program(std::move(program))
    , m_directory(std::move(directory))
    , m_record(record)
    , m_memoryMegabytes(memoryMegabytes)
    , m_store(m_loop, { loopbackAddress(storeHost), 0 })
    , m_caller(m_loop)
{
}

fleet::~fleet()
{
    for (const daemon_entry& daemon : m_daemons)
        daemon.process->endNow();
}

void fleet::wait(pollen::duration span)
{
    m_loop.runUntil([] { return false; }, span);
}

std::string fleet::settings(const daemon_entry& daemon, const std::string& failureDomain, uint16_t peerPort) const
{
    std::ostringstream text;
    text << "node = \"" << daemon.id
         << "\"\nrole = \"router\"\nmachine-class = \"front\"\nserves = [\"front\"]\nip = \"" << daemon.callers.address
         << "\"\nzone = \"" << failureDomain << "\"\nregion = \"r\"\nport-range = [" << peerPort << ", " << peerPort
         << "]\nseeds = []\nbootstrap = true\nin-tolerance = false\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1200\ncontracts = [\"base\", \"drain\", "
            "\"config\", "
         << "\"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\", \"rollout\"]\n"
         << "[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\nd = \"r\"\n[listen]\nfront = \"" << daemon.callers.text()
         << "\"\nready = \"" << daemon.readiness.text()
         << "\"\n[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = " << m_memoryMegabytes << "\n"
         << "max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
         << "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n"
         << "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n"
         << "stretch-ms = 5000\nstrict-revoke = true\nrevoke-ms = 5000\nretry-ratio = 0.9\nretry-window-s = 10\n"
         << "retry-slack = 52\nexposure-share = 0.15\nexposure-slack = 30\nrollback-ms = 5000\nrecovery-s = 12\n"
         << "pass-ms = 120\nreuse-window-s = 10\nsession-s = 5\ncold-overshoot = 1.5\ncold-slack = "
            "5\n[platform]\naddress = \""
         << m_store.address().text()
         << "\"\nform = \"log\"\nwrites-per-s = 400\nreads-per-s = 2000\nparts = 12\nappend-ms = 2.0\n"
         << "partition-mb-s = 20.0\nread-mb-s = 80.0\nrecord-bytes = 262144\ncall-bytes = 2097152\nkeep_s = 300\n"
         << "part-mb = 200\nttl-min-ms = 1000\n";
    return text.str();
}

void fleet::startDaemon(const std::string& id, const std::string& failureDomain)
{
    const std::string address = loopbackAddress(static_cast<unsigned>(m_daemons.size()) + 1);
    daemon_entry daemon;
    daemon.id = id;
    daemon.settingsFile = m_directory + "/" + id + ".toml";
    daemon.logFile = m_directory + "/" + id + ".log";
    daemon.callers = { address, freePort(address) };
    daemon.readiness = { address, freePort(address) };
    std::ofstream(daemon.settingsFile) << settings(daemon, failureDomain, freePort(address));
    start(daemon);
    m_daemons.push_back(std::move(daemon));
}

void fleet::start(daemon_entry& daemon)
{
    const int log = ::open(daemon.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    daemon.process = std::make_unique<child_process>(std::vector<std::string> { m_program },
        std::vector<std::string> { "POLLENROUTE_CONFIG=" + daemon.settingsFile }, log);
    ::close(log);
    m_record.write("daemon " + daemon.id + " started at " + daemon.callers.text());
}

void fleet::restartDaemon(size_t index)
{
    daemon_entry& daemon = m_daemons.at(index);
    daemon.process->endNow();
    start(daemon);
}

bool fleet::isReady(size_t index)
{
    std::optional<int> status;
    pollen::exchange_options options;
    options.timeout = std::chrono::milliseconds(500);
    pollen::http_request request;
    request.target = "/api/ready";
    m_caller.fetch(m_daemons.at(index).readiness, request, options,
        [&](const pollen::exchange_result& result, const pollen::http_response& response) {
            status = result.ok() ? response.status : 0;
        });
    constexpr int statusOk = 200;
    return m_loop.runUntil([&] { return status.has_value(); }, std::chrono::seconds(1)) && *status == statusOk;
}

bool fleet::waitUntilReady()
{
    const pollen::time_point end = now() + readinessPatience;
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        while (!isReady(i)) {
            if (now() > end)
                return false;
            wait(readinessInterval);
        }
    }
    return true;
}

} // namespace review
