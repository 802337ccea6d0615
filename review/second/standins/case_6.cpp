// A prompt part that crashes replicas, on replicas whose answers have neither a length nor chunks.
//
// case_6 DAEMON DIRECTORY RECORD TROUBLE FRAMING ENGINE. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.

#include "engine.h"
#include "fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <sstream>

namespace review {

namespace {

constexpr size_t engineCount = 9;
constexpr int eventsPerAnswer = 12;
constexpr pollen::duration heartbeatInterval = std::chrono::milliseconds(1200);
// A crashed replica is back after some seconds.
constexpr pollen::duration timeDown = std::chrono::milliseconds(2500);
constexpr pollen::duration calmTime = std::chrono::seconds(5);
constexpr pollen::duration troubleTime = std::chrono::seconds(25);
constexpr pollen::duration soundInterval = std::chrono::milliseconds(100);
constexpr pollen::duration deadInterval = std::chrono::milliseconds(1000);
// stable-window-ms of the settings.
constexpr int64_t stableWindowMicroseconds = 3000000;
// The rule: requests that may reach replicas later than the stable window after the fifth crash.
constexpr size_t crashesUntilBound = 5;
constexpr size_t allowedRequests = 3;

constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"chat","host":"h.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":8000,"goal-ms":2000,
"priority":0,"service":"engine","max-attempts":3,"public":false,"sticky":true,"resumable":true,"gap-goal-ms":800}],
"services":[{"name":"engine","health-path":"/health","max-conns":360,
"engine":{"slots":64,"kv-capacity":478366,"models":[{"name":"m","cost":0.1}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"team","api-keys":["key1"],"priority":1}]})";

struct run_counts {
    size_t sent = 0;
    size_t answered = 0;
};

struct replica {
    std::unique_ptr<engine> server;
    bool isDown = false;
    pollen::time_point back {};
};

struct arrival {
    int64_t microseconds = 0;
    std::string server;
    std::string request;
};

class crashing_part_case {
public:
    crashing_part_case(const std::array<std::string, 6>& arguments)
        : m_record(arguments[2])
        , m_fleet(arguments[0], arguments[1], m_record)
        , m_hasTrouble(arguments[3] != "0")
        , m_framing(arguments[4])
        , m_engineProgram(arguments[5])
    {
    }

    int run()
    {
        m_fleet.store().put("keyed.op", "config", configuration);
        for (size_t i = 0; i < engineCount; ++i)
            m_replicas.push_back({ std::make_unique<engine>(
                m_fleet, engine_options { m_engineProgram, m_framing, m_hasTrouble, eventsPerAnswer }, i) });
        const std::array<const char*, 4> domains { "a", "b", "c", "d" };
        for (const char* domain : domains)
            m_fleet.startDaemon(std::string("front-") + domain, domain);
        if (!m_fleet.waitUntilReady())
            return couldNotRun("the daemons are not ready");
        m_fleet.wait(std::chrono::seconds(4));
        play(calmTime, false);
        if (m_sound.answered * 10 < m_sound.sent * 9)
            return couldNotRun("sound requests are not answered in calm");
        play(troubleTime, true);
        m_fleet.wait(std::chrono::seconds(1));
        readReplicas();
        return judge();
    }

private:
    int couldNotRun(const char* reason)
    {
        m_record.write(std::string("the case could not run: ") + reason);
        return 2;
    }

    // Starts crashed replicas again, lets the others tell the store that they live and reads what they write.
    void tendReplicas()
    {
        const pollen::time_point now = m_fleet.now();
        const bool isBeatDue = now >= m_nextBeat;
        if (isBeatDue)
            m_nextBeat = now + heartbeatInterval;
        readReplicas();
        for (replica& which : m_replicas) {
            if (which.server->process().isRunning()) {
                if (isBeatDue)
                    which.server->beat();
                continue;
            }
            if (!std::exchange(which.isDown, true)) {
                m_record.write("replica " + which.server->id() + " has crashed");
                which.back = now + timeDown;
            }
            if (now < which.back)
                continue;
            which.isDown = false;
            which.server->start();
            m_record.write("replica " + which.server->id() + " is back");
        }
    }

    void readReplicas()
    {
        for (const replica& which : m_replicas)
            which.server->readLines([&](const std::string& line) { readLine(*which.server, line); });
    }

    void readLine(const engine& from, const std::string& line)
    {
        std::istringstream words(line);
        arrival seen;
        std::string what;
        std::string kind;
        words >> seen.microseconds >> what >> seen.request >> kind;
        seen.server = from.id();
        const pollen::time_point time { std::chrono::duration_cast<pollen::duration>(
            std::chrono::microseconds(seen.microseconds)) };
        m_record.writeAt(time, "replica " + from.id() + ": " + what + " " + seen.request + " " + kind);
        if (what == "crashed")
            m_crashes.push_back(seen);
        else if (kind == "dead")
            m_deadArrivals.push_back(seen);
    }

    void send(bool isDead)
    {
        const std::string number = std::to_string(++m_requests);
        const std::string id = std::string(isDead ? "dead-" : "sound-") + number;
        // The requests share their caller and their first part.
        const std::string parts = std::string("a1:800,") + (isDead ? "dead:165," : "b2:165,") + "1000" + number + ":20";
        const pollen::http_request request { "POST", "/chat/x",
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Key", "key1" },
                { "Pollenroute-Deadline-Ms", "8000" }, { "Pollenroute-Model", "m" },
                { "Pollenroute-Token-Counts", "985,60" }, { "Pollenroute-Prompt-Prefix", parts } },
            "prompt " + number };
        const size_t index = m_requests % m_fleet.daemonCount();
        run_counts& counts = isDead ? m_dead : m_sound;
        ++counts.sent;
        m_record.write("sent " + id + " to daemon " + std::to_string(index));
        pollen::exchange_options options;
        options.timeout = std::chrono::seconds(8);
        m_fleet.caller().fetch(m_fleet.callersAddress(index), request, options,
            [this, id, &counts](const pollen::exchange_result& result, const pollen::http_response& response) {
                constexpr int statusOk = 200;
                counts.answered += result.ok() && response.status == statusOk ? 1 : 0;
                m_record.write("answered " + id + ": status " + std::to_string(response.status) + ", "
                    + (result.ok() ? "complete" : pollen::toText(result.failure)));
            });
    }

    void play(pollen::duration length, bool withDeadPart)
    {
        const pollen::time_point end = m_fleet.now() + length;
        pollen::time_point nextDead = m_fleet.now();
        while (m_fleet.now() < end) {
            tendReplicas();
            send(false);
            if (withDeadPart && m_fleet.now() >= nextDead) {
                nextDead += deadInterval;
                send(true);
            }
            m_fleet.wait(soundInterval);
        }
    }

    int judge()
    {
        size_t late = 0;
        if (m_crashes.size() >= crashesUntilBound) {
            std::sort(m_crashes.begin(), m_crashes.end(),
                [](const arrival& left, const arrival& right) { return left.microseconds < right.microseconds; });
            const int64_t bound = m_crashes[crashesUntilBound - 1].microseconds + stableWindowMicroseconds;
            for (const arrival& seen : m_deadArrivals)
                late += seen.microseconds > bound ? 1 : 0;
        }
        const bool isBroken = late > allowedRequests;
        std::ostringstream text;
        text << "crashes " << m_crashes.size() << "; requests with the part that reached replicas "
             << m_deadArrivals.size() << ", later than 3 s after the fifth crash " << late << " (allowed "
             << allowedRequests << "); sound requests answered " << m_sound.answered << " of " << m_sound.sent
             << "; BUDGET " << (isBroken ? "broken" : "kept");
        m_record.write(text.str());
        std::printf("%s\n", text.str().c_str());
        return isBroken ? 1 : 0;
    }

    recorder m_record;
    fleet m_fleet;
    bool m_hasTrouble;
    std::string m_framing;
    std::string m_engineProgram;
    std::vector<replica> m_replicas;
    std::vector<arrival> m_crashes;
    std::vector<arrival> m_deadArrivals;
    run_counts m_sound;
    run_counts m_dead;
    size_t m_requests = 0;
    pollen::time_point m_nextBeat {};
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
        return review::crashing_part_case(arguments).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "the case could not run: %s\n", problem.what());
        return 2;
    }
}
