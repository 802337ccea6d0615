// A planned stop while callers still read answers that the daemon has already written.
//
// case_7 DAEMON DIRECTORY RECORD TROUBLE. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run.

#include "fleet.h"
#include "slow_reader.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <vector>

namespace review {

namespace {

constexpr size_t callerCount = 4;
constexpr unsigned serverHost = 100;
constexpr size_t answerBytes = 3600000;
// Callers read 600 kB a second, so that an answer takes six seconds.
constexpr size_t pieceBytes = 30000;
constexpr pollen::duration pieceInterval = std::chrono::milliseconds(50);
// The stop comes this long after the orders.
constexpr pollen::duration timeUntilStop = std::chrono::milliseconds(1000);
constexpr pollen::duration tickInterval = std::chrono::milliseconds(10);
// Of the callers, and of the route.
constexpr pollen::duration deadline = std::chrono::seconds(15);
// stable-window-ms: so long before the orders nothing disturbs the daemon.
constexpr pollen::duration calmTime = std::chrono::seconds(5);

constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"order","host":"h.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":15000,"goal-ms":1000,
"priority":2,"service":"desk","max-attempts":1,"public":false}],
"services":[{"name":"desk","health-path":"/health","max-conns":96}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"team","api-keys":["key1"],"priority":1}]})";

class stop_case {
public:
    explicit stop_case(const std::array<std::string, 4>& arguments)
        : m_record(arguments[2])
        , m_fleet(arguments[0], arguments[1], m_record)
        , m_hasTrouble(arguments[3] != "0")
        , m_server(m_fleet.loop(), { loopbackAddress(serverHost), 0 }, {},
              [this](const std::shared_ptr<pollen::server_request>& request) { serve(request); })
    {
    }

    int run()
    {
        m_fleet.store().put("keyed.op", "config", configuration);
        m_fleet.store().put("keyed.servers", "i-1",
            nlohmann::json { { "service", "desk" }, { "address", m_server.address().text() }, { "zone", "a" },
                { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "cold-left-ms", 0 }, { "born", 1 },
                { "seq", 1 } }
                .dump());
        m_fleet.startDaemon("front-a", "a");
        if (!m_fleet.waitUntilReady())
            return couldNotRun("the daemon is not ready");
        m_fleet.wait(calmTime);
        sendOrders();
        const pollen::time_point sentAt = m_fleet.now();
        bool isStopping = false;
        while (!allEnded() && m_fleet.now() < sentAt + deadline) {
            if (m_hasTrouble && !isStopping && m_fleet.now() >= sentAt + timeUntilStop) {
                isStopping = true;
                m_record.write("SIGTERM for the daemon");
                m_fleet.daemon(0).signal(SIGTERM);
            }
            m_fleet.wait(tickInterval);
            readAnswers();
        }
        return judge();
    }

private:
    int couldNotRun(const char* reason)
    {
        m_record.write(std::string("the case could not run: ") + reason);
        return 2;
    }

    void serve(const std::shared_ptr<pollen::server_request>& request)
    {
        const std::string id(pollen::findHeader(request->request().headers, "Pollenroute-Request-Id"));
        ++m_runs;
        m_record.write("the server runs " + id + " and answers it with " + std::to_string(answerBytes) + " bytes");
        request->reply(200, { { "Pollenroute-Request-Id", id }, { "Pollenroute-Response-Seal", "seal." + id } },
            std::string(answerBytes, 'x'));
    }

    void sendOrders()
    {
        for (size_t i = 0; i < callerCount; ++i) {
            const std::string id = "order-" + std::to_string(i);
            const std::string request = "POST /order/x HTTP/1.1\r\nHost: h.example\r\nPollenroute-Request-Id: " + id
                + "\r\nPollenroute-Key: key1\r\nPollenroute-Deadline-Ms: "
                + std::to_string(pollen::toMilliseconds(deadline)) + "\r\nContent-Length: 5\r\n\r\norder";
            m_callers.push_back(
                std::make_unique<slow_reader>(m_fleet.callersAddress(0), request, pieceBytes, pieceInterval));
            m_record.write("sent " + id);
        }
        m_hasTold.resize(callerCount);
    }

    void readAnswers()
    {
        for (size_t i = 0; i < m_callers.size(); ++i) {
            slow_reader& caller = *m_callers[i];
            caller.tick(m_fleet.now());
            if (!caller.hasEnded() || m_hasTold[i])
                continue;
            m_hasTold[i] = true;
            m_record.write("order-" + std::to_string(i) + ": status " + std::to_string(caller.status()) + ", "
                + std::to_string(caller.bodyBytes()) + " of " + std::to_string(caller.announcedBytes())
                + " bytes of the body read, " + caller.ending());
        }
    }

    bool allEnded() const
    {
        return std::all_of(m_callers.begin(), m_callers.end(), [](const auto& caller) { return caller->hasEnded(); });
    }

    int judge()
    {
        const auto complete = static_cast<size_t>(
            std::count_if(m_callers.begin(), m_callers.end(), [](const auto& caller) { return caller->isComplete(); }));
        // Those that the daemon has turned away would be complete and have another status.
        const auto connected = static_cast<size_t>(std::count_if(
            m_callers.begin(), m_callers.end(), [](const auto& caller) { return caller->isConnected(); }));
        if (connected < callerCount || m_runs < callerCount)
            return couldNotRun("not all orders were passed on");
        const bool isBroken = complete < callerCount;
        std::ostringstream text;
        text << "orders run " << m_runs << ", answers complete " << complete << " of " << callerCount << "; LOST "
             << (isBroken ? "broken" : "kept");
        m_record.write(text.str());
        std::printf("%s\n", text.str().c_str());
        return isBroken ? 1 : 0;
    }

    recorder m_record;
    fleet m_fleet;
    bool m_hasTrouble;
    pollen::http_server m_server;
    std::vector<std::unique_ptr<slow_reader>> m_callers;
    std::vector<bool> m_hasTold;
    size_t m_runs = 0;
};

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    std::array<std::string, 4> arguments;
    if (static_cast<size_t>(argc) != arguments.size() + 1)
        return 2;
    for (size_t i = 0; i < arguments.size(); ++i)
        arguments[i] = argv[i + 1];
    try {
        return review::stop_case(arguments).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "the case could not run: %s\n", problem.what());
        return 2;
    }
}
