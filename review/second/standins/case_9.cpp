// A replica crashes, is back at once under its id, and is cold.
//
// case_9 DAEMON DIRECTORY RECORD TROUBLE ENGINE. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.

#include "engine.h"
#include "fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <sstream>
#include <vector>

namespace review {

namespace {

constexpr size_t engineCount = 9;
constexpr int eventsPerAnswer = 48;
constexpr pollen::duration heartbeatInterval = std::chrono::milliseconds(1200);
constexpr pollen::duration calmTime = std::chrono::seconds(5);
// A replica crashes in each interval, another one each time.
constexpr pollen::duration crashInterval = std::chrono::milliseconds(4300);
constexpr size_t crashCount = 14;
constexpr pollen::duration timeDown = std::chrono::milliseconds(150);
// Requests of all callers: 10.7 a second for each replica, which runs about 20 of them at a time.
constexpr pollen::duration requestInterval = std::chrono::microseconds(10400);
// cold-start-s and cold-per-s of the configuration, cold-overshoot and cold-slack of the settings.
constexpr int64_t coldMilliseconds = 3000;
constexpr double coldPerSecond = 5.6;
constexpr double coldOvershoot = 1.5;
constexpr double coldSlack = 5;
constexpr int64_t microsecondsPerMillisecond = 1000;
constexpr int64_t windowMicroseconds = 1000000;

constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"chat","host":"h.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":8000,"goal-ms":2000,
"priority":0,"service":"engine","max-attempts":3,"public":false,"sticky":true,"resumable":true,"gap-goal-ms":800}],
"services":[{"name":"engine","health-path":"/health","max-conns":360,"cold-start-s":3.0,"cold-per-s":5.6,
"engine":{"slots":64,"kv-capacity":478366,"models":[{"name":"m","cost":0.1}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"team","api-keys":["key1"],"priority":1}]})";

// Microseconds on the boot clock.
struct arrival {
    // By the caller.
    int64_t sentAt = 0;
    int64_t arrivedAt = 0;
};

struct replica {
    std::unique_ptr<engine> server;
    // Microseconds on the boot clock; 0 if the replica started before the traffic.
    int64_t coldSince = 0;
    // Requests that have reached it while it was cold.
    std::vector<arrival> arrivals {};
};

class cold_replica_case {
public:
    explicit cold_replica_case(const std::array<std::string, 5>& arguments)
        : m_record(arguments[2])
        , m_fleet(arguments[0], arguments[1], m_record)
        , m_hasTrouble(arguments[3] != "0")
        , m_engineProgram(arguments[4])
    {
    }

    int run()
    {
        m_fleet.store().put("keyed.op", "config", configuration);
        for (size_t i = 0; i < engineCount; ++i)
            m_replicas.push_back({ std::make_unique<engine>(
                m_fleet, engine_options { m_engineProgram, "chunks", false, eventsPerAnswer }, i) });
        for (const char* domain : { "a", "b", "c", "d" })
            m_fleet.startDaemon(std::string("front-") + domain, domain);
        if (!m_fleet.waitUntilReady())
            return couldNotRun("the daemons are not ready");
        m_fleet.wait(std::chrono::seconds(4));
        play(calmTime);
        if (m_answered * 10 < m_sent * 4)
            return couldNotRun("requests are not answered in calm");
        for (size_t i = 0; i < crashCount; ++i) {
            if (m_hasTrouble)
                crash(m_replicas[i % engineCount]);
            play(crashInterval);
        }
        return judge();
    }

private:
    int couldNotRun(const char* reason)
    {
        m_record.write(std::string("the case could not run: ") + reason);
        return 2;
    }

    void crash(replica& which)
    {
        m_record.write("replica " + which.server->id() + " crashes");
        readReplicas();
        which.server->process().endNow();
        m_fleet.wait(timeDown);
        which.coldSince = microseconds(m_fleet.now());
        which.server->start(coldMilliseconds);
        m_record.write("replica " + which.server->id() + " is back and has told the store that it is cold");
    }

    static int64_t microseconds(pollen::time_point time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    }

    int64_t coldLeftMilliseconds(const replica& which) const
    {
        if (which.coldSince == 0)
            return 0;
        const int64_t passed = (microseconds(m_fleet.now()) - which.coldSince) / microsecondsPerMillisecond;
        return std::max<int64_t>(coldMilliseconds - passed, 0);
    }

    void tendReplicas()
    {
        readReplicas();
        if (m_fleet.now() < m_nextBeat)
            return;
        m_nextBeat = m_fleet.now() + heartbeatInterval;
        for (const replica& which : m_replicas)
            which.server->beat(coldLeftMilliseconds(which));
    }

    void readReplicas()
    {
        for (replica& which : m_replicas)
            which.server->readLines([&](const std::string& line) { readLine(which, line); });
    }

    void readLine(replica& from, const std::string& line)
    {
        std::istringstream words(line);
        int64_t time = 0;
        std::string what;
        std::string request;
        words >> time >> what >> request;
        const bool isCold = from.coldSince > 0 && time >= from.coldSince
            && time < from.coldSince + coldMilliseconds * microsecondsPerMillisecond;
        m_record.writeAt(
            pollen::time_point(std::chrono::duration_cast<pollen::duration>(std::chrono::microseconds(time))),
            "replica " + from.server->id() + (isCold ? ", cold: " : ": ") + what + " " + request);
        if (isCold)
            from.arrivals.push_back({ m_sentAt[request], time });
    }

    void send()
    {
        const std::string number = std::to_string(++m_sent);
        const std::string id = "request-" + number;
        const pollen::http_request request { "POST", "/chat/x",
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Key", "key1" },
                { "Pollenroute-Deadline-Ms", "8000" }, { "Pollenroute-Model", "m" },
                { "Pollenroute-Token-Counts", "200,60" }, { "Pollenroute-Prompt-Prefix", "1000" + number + ":200" } },
            "prompt " + number };
        m_sentAt[id] = microseconds(m_fleet.now());
        pollen::exchange_options options;
        options.timeout = std::chrono::seconds(8);
        m_fleet.caller().fetch(m_fleet.callersAddress(m_sent % m_fleet.daemonCount()), request, options,
            [this, id](const pollen::exchange_result& result, const pollen::http_response& response) {
                constexpr int statusOk = 200;
                const bool isAnswered = result.ok() && response.status == statusOk;
                m_answered += isAnswered ? 1 : 0;
                if (!isAnswered)
                    m_record.write("answered " + id + ": status " + std::to_string(response.status) + ", "
                        + pollen::toText(result.failure));
            });
    }

    void play(pollen::duration length)
    {
        const pollen::time_point end = m_fleet.now() + length;
        pollen::time_point next = m_fleet.now();
        while (m_fleet.now() < end) {
            tendReplicas();
            for (; next <= m_fleet.now(); next += requestInterval)
                send();
            m_fleet.wait(std::chrono::milliseconds(5));
        }
    }

    int judge()
    {
        readReplicas();
        const double allowed = coldPerSecond * coldOvershoot + coldSlack;
        size_t most = 0;
        for (const replica& which : m_replicas) {
            // Only requests that were sent and arrived within the second count.
            for (const arrival& first : which.arrivals) {
                const auto inWindow = static_cast<size_t>(
                    std::count_if(which.arrivals.begin(), which.arrivals.end(), [&](const arrival& next) {
                        return next.sentAt >= first.sentAt && next.arrivedAt < first.sentAt + windowMicroseconds;
                    }));
                most = std::max(most, inWindow);
            }
        }
        const bool isBroken = static_cast<double>(most) > allowed;
        std::ostringstream text;
        text << "requests sent " << m_sent << ", answered " << m_answered
             << "; most that reached a cold replica in a second " << most << " (allowed " << allowed << "); FAILBACK "
             << (isBroken ? "broken" : "kept");
        m_record.write(text.str());
        std::printf("%s\n", text.str().c_str());
        return isBroken ? 1 : 0;
    }

    recorder m_record;
    fleet m_fleet;
    bool m_hasTrouble;
    std::string m_engineProgram;
    std::vector<replica> m_replicas;
    // By the id of the request.
    std::map<std::string, int64_t> m_sentAt;
    size_t m_sent = 0;
    size_t m_answered = 0;
    pollen::time_point m_nextBeat {};
};

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    std::array<std::string, 5> arguments;
    if (static_cast<size_t>(argc) != arguments.size() + 1)
        return 2;
    for (size_t i = 0; i < arguments.size(); ++i)
        arguments[i] = argv[i + 1];
    try {
        return review::cold_replica_case(arguments).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "the case could not run: %s\n", problem.what());
        return 2;
    }
}
