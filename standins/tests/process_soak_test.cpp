#include "daemon_process.h"
#include "hostile_server.h"
#include "relay_fixture.h"

#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr size_t daemonsOfTheFleet = 4;
constexpr size_t failureDomains = 2;
constexpr size_t callersOfTheFleet = 16;
constexpr duration runTime = std::chrono::seconds(12);
constexpr duration startTime = std::chrono::seconds(10);
// A run by hand names its first and its last seed.
constexpr const char* firstSeedVariable = "POLLEN_SOAK_FIRST";
constexpr const char* lastSeedVariable = "POLLEN_SOAK_LAST";

uint64_t seedFrom(const char* variable, uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

const char* const soakConfiguration = R"({"version":VERSION,"routes":[
{"name":"stream","host":"h.example","path-prefix":"/s/","kind":"streaming","timeout-ms":4000,"goal-ms":3000,
"service":"desk","max-attempts":3,"resumable":true},
{"name":"order","host":"h.example","path-prefix":"/o/","kind":"non_idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":3},
{"name":"read","host":"h.example","path-prefix":"/r/","kind":"idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":3}],
"services":[{"name":"desk","max-conns":1000}]})";

bool isPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// What one caller was told of one request.
struct told_result {
    std::string target;
    bool complete = false;
    int status = 0;
    std::string body;
};

// A fleet of real processes before servers that misbehave. Callers use kept connections until these end; daemons are
// stopped, restarted, suspended and told to reload while requests are in flight.
class process_soak {
public:
    explicit process_soak(uint64_t seed)
        : m_random(seed)
        , m_directory(std::filesystem::temp_directory_path() / ("pollen-soak-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_directory);
        writeConfiguration();
        for (const char* id : { "s1", "s2", "s3" }) {
            m_servers.push_back(std::make_unique<hostile_server>(m_loop, m_random, id));
            m_store.put("keyed.servers", id, serverEntry("desk", m_servers.back()->address()));
        }
        for (size_t i = 0; i < daemonsOfTheFleet; ++i) {
            const std::string domain(1, static_cast<char>('a' + i % failureDomains));
            m_daemons.push_back(std::make_unique<daemon_process>(
                domain + std::to_string(i), domain, loopbackAddress(11 + i), m_store.address(), m_directory.string()));
            m_daemons.back()->start();
        }
    }
    ~process_soak()
    {
        m_daemons.clear();
        // The connections end with the daemons, before the loop does.
        runFor(std::chrono::milliseconds(100));
        std::filesystem::remove_all(m_directory);
    }
    process_soak(const process_soak&) = delete;
    process_soak& operator=(const process_soak&) = delete;

    void run()
    {
        ASSERT_TRUE(m_loop.runUntil([&] { return m_answered.contains(200) || !probe(); }, startTime));
        for (size_t caller = 0; caller < callersOfTheFleet; ++caller)
            sendNext();
        const time_point end = m_time.now() + runTime;
        while (m_time.now() < end) {
            disturb();
            runFor(std::chrono::milliseconds(100 + draw(400)));
            restartEnded();
        }
        m_stopping = true;
        for (const auto& server : m_servers)
            server->freeze(false);
        for (const auto& daemon : m_daemons)
            daemon->signal(SIGCONT);
        EXPECT_TRUE(m_loop.runUntil([&] { return m_open == 0; }, std::chrono::seconds(10)));
        // What a server takes up late counts as well.
        runFor(std::chrono::seconds(1));
    }

    // Compares what callers were told with what servers have run.
    void check() const
    {
        size_t succeeded = 0;
        for (const auto& [id, told] : m_told) {
            const int runs = runsOf(id);
            const bool isOrder = told.target.starts_with("/o/");
            EXPECT_LE(isOrder ? runs : 0, 1) << "TWICE: " << describe(id, told);
            EXPECT_EQ(isOrder && isPromise(told.status) ? runs : 0, 0) << "REFUSED: " << describe(id, told);
            if (!told.complete || told.status != 200)
                continue;
            ++succeeded;
            EXPECT_GE(runs, 1) << "MIXED: " << describe(id, told);
            EXPECT_EQ(told.body, told.target.starts_with("/s/") ? wholeStream() : "done-" + id)
                << "MIXED or ORDER: " << describe(id, told);
        }
        EXPECT_GT(succeeded, m_told.size() / 3) << "the run shows little";
    }

private:
    size_t draw(size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random); }

    void runFor(duration span)
    {
        const time_point end = m_time.now() + span;
        m_loop.runUntil([&] { return m_time.now() >= end; }, span * 2);
    }

    // Asks a daemon for its readiness; counts the statuses.
    bool probe()
    {
        if (std::exchange(m_probing, true))
            return true;
        m_client.fetch(m_daemons.front()->readiness(), { "GET", "/api/ready", {}, "" }, {},
            [this](const exchange_result&, const http_response& response) {
                m_probing = false;
                ++m_answered[response.status];
            });
        return true;
    }

    void writeConfiguration()
    {
        m_store.put("keyed.op", "config", replaced(soakConfiguration, "VERSION", std::to_string(++m_version)));
    }

    void disturb()
    {
        daemon_process& daemon = *m_daemons[draw(m_daemons.size())];
        switch (draw(9)) {
        case 0:
        case 1:
            daemon.signal(SIGTERM);
            return;
        case 2:
            if (daemon.hasBegun())
                daemon.signal(SIGHUP);
            return;
        case 3:
            suspend(daemon);
            return;
        case 4:
        case 5:
            m_servers[draw(m_servers.size())]->freeze(draw(2) == 0);
            return;
        case 6:
            writeConfiguration();
            return;
        case 7:
            m_store.set("outage", static_cast<int64_t>(draw(3)));
            return;
        default:
            m_store.set("outage", 0);
            for (const auto& server : m_servers)
                server->freeze(false);
            return;
        }
    }

    void suspend(daemon_process& daemon)
    {
        daemon.signal(SIGSTOP);
        m_timers.push_back(std::make_unique<timer>(m_loop, [&daemon] { daemon.signal(SIGCONT); }));
        m_timers.back()->startOnce(std::chrono::milliseconds(100 + draw(1500)));
    }

    void restartEnded()
    {
        for (const auto& daemon : m_daemons) {
            if (daemon->isRunning())
                continue;
            // A daemon may be told to stop before it handles signals.
            EXPECT_TRUE(daemon->endedBySignal() == 0 || daemon->endedBySignal() == SIGTERM)
                << daemon->id() << " ended by signal " << daemon->endedBySignal();
            daemon->start();
        }
    }

    void sendNext()
    {
        if (m_stopping)
            return;
        static const std::vector<std::string> paths { "/o/", "/o/", "/r/", "/s/" };
        const std::string id = "id-" + std::to_string(++m_sent);
        const std::string target = paths[draw(paths.size())] + "x";
        const http_request message { target.starts_with("/o/") ? "POST" : "GET", target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Deadline-Ms", "1500" } },
            target.starts_with("/o/") ? "order" : "" };
        exchange_options options;
        options.timeout = std::chrono::seconds(4);
        ++m_open;
        m_client.fetch(m_daemons[draw(m_daemons.size())]->callers(), message, options,
            [this, id, target](const exchange_result& result, const http_response& response) {
                --m_open;
                m_told[id] = { target, result.ok(), response.status, response.body };
                const bool pause = !result.ok() || response.status != 200;
                m_timers.push_back(std::make_unique<timer>(m_loop, [this] { sendNext(); }));
                m_timers.back()->startOnce(std::chrono::milliseconds(pause ? 50 : 1));
            });
    }

    int runsOf(const std::string& id) const
    {
        int runs = 0;
        for (const auto& server : m_servers) {
            const auto found = server->runs().find(id);
            runs += found == server->runs().end() ? 0 : found->second;
        }
        return runs;
    }

    static std::string wholeStream()
    {
        std::string text;
        for (int i = 1; i <= hostile_server::streamEvents; ++i)
            text += hostile_server::streamEvent(i);
        return text;
    }

    static std::string describe(const std::string& id, const told_result& told)
    {
        return id + " " + told.target + " " + std::to_string(told.status) + (told.complete ? " complete: " : " cut: ")
            + told.body;
    }

    event_loop m_loop;
    os_clock m_time;
    random_source m_random;
    std::filesystem::path m_directory;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    std::vector<std::unique_ptr<hostile_server>> m_servers;
    http_client m_client { m_loop };
    std::vector<std::unique_ptr<timer>> m_timers;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::map<std::string, told_result> m_told;
    std::map<int, int> m_answered;
    size_t m_sent = 0;
    size_t m_open = 0;
    int m_version = 0;
    bool m_probing = false;
    bool m_stopping = false;
};

} // namespace

// Guards against TWICE, REFUSED, MIXED and ORDER between real processes. Runs one seed, or as many as the variable
// says.
TEST(ProcessSoak, OrdersRunOnceAndAnswersAreWhole)
{
    const uint64_t first = seedFrom(firstSeedVariable, 1);
    const uint64_t last = seedFrom(lastSeedVariable, first);
    for (uint64_t seed = first; seed <= last; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        process_soak soak(seed);
        soak.run();
        soak.check();
    }
}

// Guards against processes that end by themselves: a daemon that was told to reload before it handled signals ended.
TEST(ProcessStart, ADaemonThatIsToldToReloadWhileItStartsGoesOn)
{
    const auto directory = std::filesystem::temp_directory_path() / ("pollen-start-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory);
    event_loop loop;
    const store_standin store(loop, { "127.0.0.1", 0 });
    daemon_process daemon("a1", "a", loopbackAddress(200), store.address(), directory.string());
    // The daemon waits for its settings until they are written.
    std::filesystem::remove(daemon.settingsFile());
    ASSERT_EQ(::mkfifo(daemon.settingsFile().c_str(), 0600), 0);
    daemon.start();
    {
        std::ofstream settings(daemon.settingsFile());
        daemon.signal(SIGHUP);
        ::usleep(50000);
        settings << daemon.settings(store.address());
    }
    ::usleep(200000);
    EXPECT_TRUE(daemon.isRunning()) << "ended by signal " << daemon.endedBySignal();
    std::filesystem::remove_all(directory);
}

} // namespace pollen
