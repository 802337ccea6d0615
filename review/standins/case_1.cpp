// A server answers one request with a chunk extension that does not end. The daemon keeps all of it until its memory is
// used up and the platform kills it; the other callers' requests end without an answer.

#include "caller_channel.h"
#include "deployment.h"
#include "endless_server.h"
#include "order_server.h"
#include <csignal>
#include <cstdio>
#include <map>

namespace pollen {

namespace {

constexpr size_t callers = 16;
constexpr size_t soundServers = 3;
constexpr std::chrono::milliseconds leastWork(150);
constexpr std::chrono::milliseconds mostWork(400);
constexpr duration timeBeforeTheFault = std::chrono::seconds(4);
constexpr duration timeAfterTheFault = std::chrono::seconds(9);
constexpr duration platformCheck = std::chrono::milliseconds(10);
constexpr duration restartDelay = std::chrono::milliseconds(500);
// LOST allows three.
constexpr size_t allowedLosses = 3;
// A daemon's own link, 1000 Mbit/s.
constexpr size_t linkBytesPerMillisecond = 125000;
constexpr size_t bytesPerMegabyte = size_t { 1 } << 20;

const char* const configurationText = R"({"version":1,"routes":[
{"name":"contract-summary","host":"desk.example","path-prefix":"/summary/","kind":"streaming","timeout-ms":6000,
"goal-ms":3000,"priority":0,"service":"drafting-model","max-attempts":3,"public":true,"resumable":true,
"gap-goal-ms":1200},
{"name":"order-place","host":"desk.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":600,
"goal-ms":100,"priority":2,"service":"order-desk","max-attempts":1,"public":true}],
"services":[{"name":"drafting-model","health-path":"/health","max-conns":360},
{"name":"order-desk","health-path":"/health","max-conns":96}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[]})";

class endless_answer_case {
public:
    explicit endless_answer_case(const case_arguments& arguments)
        : m_record(arguments.recordFile)
        , m_deployment(m_loop, arguments, m_record, { { "front-nbi-a-1", "nbi-a", "127.0.0.1" } })
        , m_endless(m_loop, m_record, "drafting-1", "10;x=", arguments.hasTrouble ? "x" : "", linkBytesPerMillisecond)
        , m_platform(m_loop, [this] { checkMemory(); })
    {
        m_deployment.writeConfiguration(configurationText);
        m_deployment.writeServer("drafting-1", "drafting-model", m_endless.address(), "nbi-a", 64);
        for (size_t i = 0; i < soundServers; ++i) {
            m_servers.push_back(std::make_unique<order_server>(
                m_loop, m_record, "order-" + std::to_string(i + 1), leastWork, mostWork, m_runs));
            m_deployment.writeServer(m_servers.back()->id(), "order-desk", m_servers.back()->address(), "nbi-a");
        }
    }

    case_result run()
    {
        m_deployment.start();
        m_platform.startRepeating(platformCheck);
        for (size_t i = 0; i < callers; ++i) {
            m_channels.push_back(std::make_unique<caller_channel>(m_loop, m_deployment.callersAddress(0)));
            sendOrder(i);
        }
        m_deployment.runFor(timeBeforeTheFault);
        caller_channel summary(m_loop, m_deployment.callersAddress(0));
        m_record.write("caller sends summary-1");
        summary.send(makeRequest("GET", "/summary/1", "summary-1", 6000), [this](const told_answer& answer) {
            m_record.write("summary-1 ends: status " + std::to_string(answer.status)
                + (answer.complete ? ", complete" : ", the channel was closed"));
        });
        m_deployment.runFor(timeAfterTheFault);
        m_record.write(std::to_string(m_answered) + " orders answered, " + std::to_string(m_lost)
            + " on kept channels run by sound servers and closed without an answer (LOST allows "
            + std::to_string(allowedLosses) + "); largest memory " + std::to_string(m_largestMemory / bytesPerMegabyte)
            + " MB, " + std::to_string(m_kills) + " kills by the platform");
        std::printf("%zu orders lost, %d kills for memory\n", m_lost, m_kills);
        return m_lost > allowedLosses ? RuleBroken : RuleHeld;
    }

private:
    static http_request makeRequest(const char* method, const std::string& target, const std::string& id, int deadline)
    {
        return { method, target,
            { { "Host", "desk.example" }, { "Pollenroute-Request-Id", id },
                { "Pollenroute-Deadline-Ms", std::to_string(deadline) } },
            std::string(method) == "POST" ? "comb" : "" };
    }

    void sendOrder(size_t caller)
    {
        const std::string id = "order-" + std::to_string(caller) + "-" + std::to_string(++m_sent);
        m_channels[caller]->send(
            makeRequest("POST", "/order/1", id, 600), [this, caller, id](const told_answer& answer) {
                onAnswer(id, answer);
                // Callers pause for a moment, longer where no daemon is there.
                m_waits.push_back(std::make_unique<timer>(m_loop, [this, caller] { sendOrder(caller); }));
                m_waits.back()->startOnce(
                    answer.status == 0 ? std::chrono::milliseconds(300) : std::chrono::milliseconds(5));
            });
    }

    void onAnswer(const std::string& id, const told_answer& answer)
    {
        if (answer.complete) {
            ++m_answered;
            m_record.write(id + " answered " + std::to_string(answer.status));
            return;
        }
        const auto server = m_runs.find(id);
        const bool isLost = answer.onKeptChannel && answer.status == 0 && server != m_runs.end();
        m_lost += isLost ? 1 : 0;
        m_record.write(id + " ends without an answer" + (answer.onKeptChannel ? " on a kept channel" : "")
            + (server != m_runs.end() ? "; it was run by " + server->second : "; no server got it"));
    }

    // The platform kills a process that exceeds its memory and starts it again after a short delay.
    void checkMemory()
    {
        daemon_process& daemon = m_deployment.daemonAt(0);
        if (!daemon.isRunning()) {
            if (!m_restart) {
                m_restart = std::make_unique<timer>(m_loop, [this] {
                    m_deployment.restart(0);
                    m_loop.post([this] { m_restart.reset(); });
                });
                m_restart->startOnce(restartDelay);
            }
            return;
        }
        const size_t memory = daemon.residentBytes();
        m_largestMemory = std::max(m_largestMemory, memory);
        if (memory <= static_cast<size_t>(m_deployment.machineAt(0).memoryMegabytes) * bytesPerMegabyte)
            return;
        ++m_kills;
        m_record.write("front-nbi-a-1 uses " + std::to_string(memory / bytesPerMegabyte)
            + " MB of memory-mb 260; the platform kills it");
        daemon.signal(SIGKILL);
    }

    event_loop m_loop;
    recorder m_record;
    deployment m_deployment;
    endless_server m_endless;
    // The server that ran each order.
    std::map<std::string, std::string> m_runs;
    std::vector<std::unique_ptr<order_server>> m_servers;
    timer m_platform;
    std::unique_ptr<timer> m_restart;
    std::vector<std::unique_ptr<timer>> m_waits;
    std::vector<std::unique_ptr<caller_channel>> m_channels;
    size_t m_sent = 0;
    size_t m_answered = 0;
    size_t m_lost = 0;
    size_t m_largestMemory = 0;
    int m_kills = 0;
};

} // namespace

} // namespace pollen

int main(int count, char** values)
{
    try {
        return pollen::endless_answer_case(pollen::parseCaseArguments(count, values)).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return pollen::CouldNotRun;
    }
}
