// Callers that nobody controls: bodies of legal size that stop short of their end, and answers that are read slowly, at
// the same time. The daemon has to stay within the memory of its machine.
//
// case_8 DAEMON DIRECTORY RECORD TROUBLE SERVER CROWD. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.

#include "fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace review {

namespace {

constexpr unsigned serverHost = 100;
constexpr const char* crowdCallers = "1000";
constexpr const char* crowdSeconds = "15";
constexpr const char* answerBytes = "4100000";
constexpr pollen::duration crowdTime = std::chrono::seconds(16);
constexpr pollen::duration calmTime = std::chrono::seconds(3);
constexpr pollen::duration ordinaryInterval = std::chrono::milliseconds(250);
constexpr pollen::duration heartbeatInterval = std::chrono::milliseconds(1200);
// Of the machine.
constexpr size_t memoryMegabytes = 120;
constexpr size_t kilobytesPerMegabyte = 1024;

constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"read","host":"h.example","path-prefix":"/read/","kind":"idempotent","timeout-ms":8000,"goal-ms":1000,
"priority":2,"service":"desk","max-attempts":2,"public":false}],
"services":[{"name":"desk","health-path":"/health","max-conns":110}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"team","api-keys":["key1"],"priority":1}]})";

// Memory of the process in kB, without the pages of its files.
size_t privateKilobytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        size_t kilobytes = 0;
        if (word == "RssAnon:" && status >> kilobytes)
            return kilobytes;
    }
    return 0;
}

class crowd_case {
public:
    explicit crowd_case(const std::array<std::string, 6>& arguments)
        : m_record(arguments[2])
        , m_directory(arguments[1])
        , m_fleet(arguments[0], arguments[1], m_record, memoryMegabytes)
        , m_hasTrouble(arguments[3] != "0")
        , m_serverProgram(arguments[4])
        , m_crowdProgram(arguments[5])
    {
    }

    int run()
    {
        const int output = ::open((m_directory + "/crowd.log").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
        const std::string address = loopbackAddress(serverHost);
        const std::string port = std::to_string(freePort(address));
        const child_process server({ m_serverProgram, address, port, answerBytes }, {}, output);
        m_serverAddress = address + ":" + port;
        m_fleet.store().put("keyed.op", "config", configuration);
        beat();
        m_fleet.startDaemon("front-a", "a");
        if (!m_fleet.waitUntilReady())
            return couldNotRun("the daemon is not ready");
        play(calmTime);
        if (m_answered == 0)
            return couldNotRun("ordinary callers are not answered in calm");
        m_record.write("private memory before: " + std::to_string(m_most) + " kB");
        std::unique_ptr<child_process> crowd;
        if (m_hasTrouble) {
            const pollen::endpoint daemon = m_fleet.callersAddress(0);
            m_record.write(std::string("the crowd begins, callers at a time: ") + crowdCallers);
            crowd = std::make_unique<child_process>(std::vector<std::string> { m_crowdProgram, daemon.address,
                                                        std::to_string(daemon.port), crowdCallers, crowdSeconds },
                std::vector<std::string> {}, output);
        }
        play(crowdTime);
        ::close(output);
        std::ifstream log(m_directory + "/crowd.log");
        std::string line;
        while (std::getline(log, line))
            m_record.write("the crowd: " + line);
        return judge();
    }

private:
    int couldNotRun(const char* reason)
    {
        m_record.write(std::string("the case could not run: ") + reason);
        return 2;
    }

    void beat()
    {
        m_fleet.store().put("keyed.servers", "i-1",
            nlohmann::json { { "service", "desk" }, { "address", m_serverAddress }, { "zone", "a" },
                { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "cold-left-ms", 0 }, { "born", 1 },
                { "seq", ++m_beats } }
                .dump());
    }

    void sendOrdinary()
    {
        const std::string id = "ordinary-" + std::to_string(++m_sent);
        const pollen::http_request request { "GET", "/read/x",
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Key", "key1" },
                { "Pollenroute-Deadline-Ms", "8000" } },
            "" };
        pollen::exchange_options options;
        options.timeout = std::chrono::seconds(8);
        m_fleet.caller().fetch(m_fleet.callersAddress(0), request, options,
            [this](const pollen::exchange_result& result, const pollen::http_response& response) {
                constexpr int statusOk = 200;
                m_answered += result.ok() && response.status == statusOk ? 1 : 0;
            });
    }

    void play(pollen::duration length)
    {
        const pollen::time_point end = m_fleet.now() + length;
        pollen::time_point nextRequest = m_fleet.now();
        pollen::time_point nextBeat = m_fleet.now();
        while (m_fleet.now() < end) {
            if (m_fleet.now() >= nextRequest) {
                nextRequest += ordinaryInterval;
                sendOrdinary();
            }
            if (m_fleet.now() >= nextBeat) {
                nextBeat += heartbeatInterval;
                beat();
            }
            const size_t now = privateKilobytes(m_fleet.daemon(0).id());
            if (now > m_most + kilobytesPerMegabyte)
                m_record.write("private memory: " + std::to_string(now) + " kB");
            m_most = std::max(m_most, now);
            m_fleet.wait(std::chrono::milliseconds(20));
        }
    }

    int judge()
    {
        const size_t allowed = memoryMegabytes * kilobytesPerMegabyte;
        const bool isBroken = m_most > allowed || !m_fleet.daemon(0).isRunning();
        std::ostringstream text;
        text << "most private memory of the daemon " << m_most << " kB (its machine has " << allowed
             << "); ordinary requests answered " << m_answered << " of " << m_sent << "; memory "
             << (isBroken ? "exceeded" : "kept");
        m_record.write(text.str());
        std::printf("%s\n", text.str().c_str());
        return isBroken ? 1 : 0;
    }

    recorder m_record;
    std::string m_directory;
    fleet m_fleet;
    bool m_hasTrouble;
    std::string m_serverProgram;
    std::string m_crowdProgram;
    std::string m_serverAddress;
    int m_beats = 0;
    size_t m_sent = 0;
    size_t m_answered = 0;
    size_t m_most = 0;
};

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    std::array<std::string, 6> arguments;
    if (static_cast<size_t>(argc) != arguments.size() + 1)
        return 2;
    for (size_t i = 0; i < arguments.size(); ++i)
        arguments[i] = argv[i + 1];
    try {
        return review::crowd_case(arguments).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "the case could not run: %s\n", problem.what());
        return 2;
    }
}
