#include "daemon_process.h"
#include "queueing_server.h"
#include "relay_fixture.h"

#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration startTime = std::chrono::seconds(20);
constexpr duration drainTime = std::chrono::seconds(2);
constexpr duration heartbeat = std::chrono::milliseconds(1200);
// An entry is removed after this time without a heartbeat.
constexpr duration entryLife = heartbeat * 3;
// The address of a server that has gone may be used again after this time.
constexpr duration addressRest = std::chrono::seconds(2);
// The bound of an evacuation in the daemons' settings. It is extended by the time for which the store was in trouble.
constexpr duration evacuationBound = std::chrono::seconds(5);
constexpr duration coldTime = std::chrono::seconds(3);
// By the daemons' settings and the configuration: 5.6 requests a second, times 1.5, and five more.
constexpr size_t allowedOfColdServer = 13;
constexpr duration rushEvery = std::chrono::seconds(3);
constexpr size_t maximumOpenRequests = 3000;
constexpr size_t maximumTraces = 5;
constexpr const char* firstSeedVariable = "POLLEN_SITE_FIRST";
constexpr const char* lastSeedVariable = "POLLEN_SITE_LAST";
constexpr const char* sheetVariable = "POLLEN_SITE";

std::string environment(const char* variable, const std::string& otherwise)
{
    const char* text = std::getenv(variable);
    return text ? text : otherwise;
}

const char* const siteConfiguration = R"({"version":VERSION,"routes":[
{"name":"order","host":"h.example","path-prefix":"/o/","kind":"non_idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":3},
{"name":"once","host":"h.example","path-prefix":"/once/","kind":"non_idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":1},
{"name":"moving","host":"h.example","path-prefix":"/m/","kind":"non_idempotent","timeout-ms":1500,"service":"MOVING",
"max-attempts":3,"priority":1},
{"name":"read","host":"h.example","path-prefix":"/r/","kind":"idempotent","timeout-ms":2000,"service":"stock",
"max-attempts":3}],
"services":[{"name":"desk","max-conns":1000,"health-path":"/health","cold-start-s":3.0,"cold-per-s":5.6},
{"name":"stock","max-conns":1000,"health-path":"/health","cold-start-s":3.0,"cold-per-s":5.6}]})";

bool isPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// A site of real processes under more load than it bears: servers with queues, releases, changes of the configuration,
// trouble with the store, and daemons that are stopped, killed, suspended and replaced meanwhile.
class site_soak {
public:
    site_soak(const site_sheet& sheet, uint64_t seed)
        : m_sheet(sheet)
        , m_random(seed)
        , m_evacuationRandom(seed)
        , m_directory(std::filesystem::temp_directory_path() / ("pollen-site-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_directory);
        writeConfiguration();
        for (size_t i = 0; i < m_sheet.servers; ++i) {
            startServer("desk", { "127.0.0.1", 0 });
            startServer("stock", { "127.0.0.1", 0 });
        }
        for (size_t i = 0; i < m_sheet.daemons; ++i) {
            const std::string domain(1, static_cast<char>('a' + i % m_sheet.failureDomains));
            m_daemons.push_back(std::make_unique<daemon_process>(
                domain + std::to_string(i), domain, loopbackAddress(11 + i), m_store.address(), m_directory.string()));
            m_daemons.back()->start();
        }
    }
    ~site_soak()
    {
        m_daemons.clear();
        for (const auto& server : m_servers)
            server->stop(true);
        // The connections end with the daemons, before the loop does.
        runFor(std::chrono::milliseconds(100));
        std::filesystem::remove_all(m_directory);
    }
    site_soak(const site_soak&) = delete;
    site_soak& operator=(const site_soak&) = delete;

    void run()
    {
        ASSERT_TRUE(m_loop.runUntil([&] { return areReady(); }, startTime));
        m_begin = m_time.now();
        m_sender.startRepeating(sendInterval);
        m_heart.startRepeating(heartbeat);
        evacuate();
        while (m_time.now() < m_begin + m_sheet.runTime) {
            disturb();
            runFor(m_sheet.disturbancePause * (1 + draw(10)) / 10);
            restartEnded();
        }
        m_sender.stop();
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
        size_t twice = 0;
        size_t refused = 0;
        // Of these, answers of servers that had promised nothing.
        size_t passedOn = 0;
        std::map<std::string, size_t> statuses;
        for (const auto& [id, told] : m_record.told()) {
            ++statuses[told.complete ? std::to_string(told.status) : "cut"];
            const int runs = m_record.runsOf(id);
            const bool succeeded = told.complete && told.status == 200;
            EXPECT_TRUE(!succeeded || (runs >= 1 && told.body == "done-" + id)) << "MIXED: " << id << describe(id);
            if (!told.isOrder)
                continue;
            if (runs > 1 && ++twice <= maximumTraces)
                ADD_FAILURE() << "TWICE: " << id << "\n" << describe(id);
            // A head whose body is cut is as much of a promise.
            if (!isPromise(told.status) || runs == 0)
                continue;
            ++refused;
            const bool isPassedOn = told.body == queueing_server::bareBody;
            passedOn += isPassedOn ? 1 : 0;
            if (refused - passedOn <= maximumTraces && (!isPassedOn || passedOn == 1))
                ADD_FAILURE() << "REFUSED: " << id << "\n" << describe(id);
        }
        std::cout << m_sheet.name << ": requests " << m_record.told().size() << ", TWICE " << twice << ", REFUSED "
                  << refused << " (passed on " << passedOn << "), statuses";
        for (const auto& [status, count] : statuses)
            std::cout << " " << status << ":" << count;
        std::cout << std::endl;
        std::cout << "evacuated domains: requests " << m_beforeBound << " within the bound, " << m_afterBound
                  << " after it, servers checked for " << toMilliseconds(m_checkedTime)
                  << " ms; cold servers: " << m_coldRequests << " requests, most in a second " << m_mostInSecond
                  << std::endl;
        EXPECT_EQ(m_afterBound, 0U) << "EVAC";
        EXPECT_LE(m_mostInSecond, allowedOfColdServer) << "FAILBACK";
        EXPECT_EQ(twice + refused, 0U);
        EXPECT_GT(statuses["200"], m_record.told().size() / 10) << "the run shows little";
    }

private:
    static constexpr duration sendInterval = std::chrono::milliseconds(5);

    struct evacuation_order {
        time_point since;
        // See troubleTime().
        duration troubleBefore { 0 };
    };
    struct resting_address {
        endpoint address;
        time_point freeAt;
    };

    size_t draw(size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random); }

    void runFor(duration span)
    {
        const time_point end = m_time.now() + span;
        m_loop.runUntil([&] { return m_time.now() >= end; }, span * 2);
    }

    void after(duration delay, std::function<void()> task)
    {
        m_timers.push_back(std::make_unique<timer>(m_loop, std::move(task)));
        m_timers.back()->startOnce(delay);
    }

    // Asks the daemons for their readiness until all of them have been ready.
    bool areReady()
    {
        for (const auto& daemon : m_daemons) {
            if (m_ready.contains(daemon->id()) || !m_asked.insert(daemon->id()).second)
                continue;
            m_client.fetch(daemon->readiness(), { "GET", "/api/ready", {}, "" }, {},
                [this, id = daemon->id()](const exchange_result&, const http_response& response) {
                    if (response.status == 200)
                        m_ready.insert(id);
                    after(std::chrono::milliseconds(50), [this, id] { m_asked.erase(id); });
                });
        }
        return m_ready.size() == m_daemons.size();
    }

    void writeConfiguration()
    {
        ++m_version;
        m_store.put("keyed.op", "config",
            replaced(replaced(siteConfiguration, "VERSION", std::to_string(m_version)), "MOVING",
                m_version % 2 == 0 ? "desk" : "stock"));
    }

    void writeEntry(const queueing_server& server, const char* state)
    {
        std::string entry = replaced(serverEntry(server.service().c_str(), server.address(), state), "\"zone\":\"a\"",
            "\"zone\":\"" + m_domains.at(&server) + "\"");
        if (!server.isCold() || server.coldChannel() == queueing_server::cold_channel::Entry)
            entry = replaced(
                entry, "\"seq\"", "\"cold-left-ms\":" + std::to_string(server.coldMilliseconds()) + ",\"seq\"");
        m_store.put("keyed.servers", server.id(), entry);
    }

    // Some servers take over the address of one that has gone.
    endpoint drawAddress()
    {
        const time_point now = m_time.now();
        for (resting_address& resting : m_addresses) {
            if (now < resting.freeAt || draw(3) == 0)
                continue;
            endpoint address = resting.address;
            std::swap(resting, m_addresses.back());
            m_addresses.pop_back();
            return address;
        }
        return { "127.0.0.1", 0 };
    }

    void startServer(const std::string& service, const endpoint& address)
    {
        const std::string id = "i-" + service + "-" + std::to_string(++m_started);
        m_servers.push_back(
            std::make_unique<queueing_server>(m_loop, m_random, m_record, m_sheet, id, service, address));
        queueing_server& server = *m_servers.back();
        m_domains[&server] = std::string(1, static_cast<char>('a' + m_started % m_sheet.failureDomains));
        // Servers that start during traffic are cold.
        if (m_begin != time_point {})
            server.setCold(m_time.now() + coldTime,
                m_started % 2 == 0 ? queueing_server::cold_channel::Header : queueing_server::cold_channel::Entry);
        server.setArrivalCallback([this, &server] { recordArrival(server); });
        writeEntry(server, "ready");
        m_active.insert(m_servers.back().get());
    }

    // Orders the evacuation of a domain and withdraws it; the next order comes before that.
    void evacuate()
    {
        const size_t number = std::uniform_int_distribution<size_t>(0, m_sheet.failureDomains - 1)(m_evacuationRandom);
        const std::string domain(1, static_cast<char>('a' + number));
        const auto pause = [&] {
            return std::chrono::milliseconds(std::uniform_int_distribution<int>(2000, 4000)(m_evacuationRandom));
        };
        if (!m_orders.contains(domain)) {
            m_store.put("keyed.op", "evacuate/" + domain, "{}");
            m_orders[domain] = { m_time.now(), troubleTime() };
            after(evacuationBound + pause(), [this, domain] {
                const duration checked = m_time.now() - boundOf(m_orders.at(domain));
                m_checkedTime += std::max(checked, duration(0));
                m_store.put("keyed.op", "evacuate/" + domain, std::nullopt);
                m_orders.erase(domain);
            });
        }
        after(pause(), [this] { evacuate(); });
    }

    // For how long the store has been in trouble since the start.
    duration troubleTime() const
    {
        return m_troubleTime + (m_troubleSince ? m_time.now() - *m_troubleSince : duration(0));
    }
    void setTrouble(int64_t kind)
    {
        m_store.set("outage", kind);
        m_troubleTime = troubleTime();
        m_troubleSince = kind == 0 ? std::nullopt : std::optional(m_time.now());
    }
    time_point boundOf(const evacuation_order& order) const
    {
        return order.since + evacuationBound + troubleTime() - order.troubleBefore;
    }

    void recordArrival(const queueing_server& server)
    {
        const time_point now = m_time.now();
        if (const auto order = m_orders.find(m_domains.at(&server)); order != m_orders.end())
            ++(now > boundOf(order->second) ? m_afterBound : m_beforeBound);
        if (!server.isCold())
            return;
        ++m_coldRequests;
        std::deque<time_point>& second = m_lastSecond[&server];
        second.push_back(now);
        while (now - second.front() >= std::chrono::seconds(1))
            second.pop_front();
        m_mostInSecond = std::max(m_mostInSecond, second.size());
    }

    queueing_server& drawServer() { return **std::next(m_active.begin(), static_cast<long>(draw(m_active.size()))); }

    void stopServer(queueing_server& server, bool reset)
    {
        if (server.isStopped())
            return;
        server.stop(reset);
        m_addresses.push_back({ server.address(), m_time.now() + addressRest });
    }

    // A server leaves, with or without a word, and another one takes its part.
    void release(queueing_server& server)
    {
        m_active.erase(&server);
        startServer(server.service(), drawAddress());
        const bool says = draw(3) > 0;
        if (says)
            writeEntry(server, "draining");
        else
            m_store.put("keyed.servers", server.id(), std::nullopt);
        after(drainTime + std::chrono::milliseconds(draw(1000)), [this, &server] {
            m_store.put("keyed.servers", server.id(), std::nullopt);
            stopServer(server, draw(2) == 0);
        });
    }

    // A server ends without a word; its entry stays for a while.
    void crash(queueing_server& server)
    {
        m_active.erase(&server);
        stopServer(server, draw(2) == 0);
        after(entryLife, [this, &server] { m_store.put("keyed.servers", server.id(), std::nullopt); });
        const std::string service = draw(4) == 0 ? "stock" : server.service();
        after(std::chrono::milliseconds(300 + draw(2500)), [this, service] { startServer(service, drawAddress()); });
    }

    void disturb()
    {
        daemon_process& daemon = *m_daemons[draw(m_daemons.size())];
        switch (draw(16)) {
        case 0:
        case 1:
            daemon.signal(SIGTERM);
            return;
        case 2:
            if (daemon.hasBegun())
                daemon.signal(SIGHUP);
            return;
        case 3:
        case 4:
            suspend(daemon, std::chrono::milliseconds(100 + draw(1500)));
            return;
        case 5:
            // A busy machine: everything stands still for moments.
            for (const auto& each : m_daemons)
                suspend(*each, std::chrono::milliseconds(20 + draw(150)));
            return;
        case 6:
            daemon.signal(SIGKILL);
            return;
        case 7:
            daemon.startOverlapping();
            return;
        case 8:
        case 9:
        case 10:
            freeze(drawServer());
            return;
        case 11:
        case 12:
            release(drawServer());
            return;
        case 13:
            if (m_active.size() > m_sheet.servers)
                crash(drawServer());
            return;
        case 14:
            writeConfiguration();
            return;
        default:
            setTrouble(static_cast<int64_t>(draw(3)));
            after(std::chrono::milliseconds(200 + draw(2000)), [this] { setTrouble(0); });
            return;
        }
    }

    void suspend(daemon_process& daemon, duration span)
    {
        daemon.signal(SIGSTOP);
        after(span, [&daemon] { daemon.signal(SIGCONT); });
    }

    void freeze(queueing_server& server)
    {
        server.freeze(true);
        after(std::chrono::milliseconds(200 + draw(2500)), [&server] { server.freeze(false); });
    }

    void restartEnded()
    {
        for (const auto& daemon : m_daemons) {
            if (!daemon->isRunning())
                daemon->start();
        }
    }

    // Callers don't wait for one another.
    void sendDue()
    {
        const bool isRush = (m_time.now() - m_begin) / rushEvery % 2 == 1;
        const double perInterval = static_cast<double>(m_sheet.requestsPerSecond * (isRush ? m_sheet.rushFactor : 1))
            * std::chrono::duration<double>(sendInterval).count();
        for (int due = std::poisson_distribution<int>(perInterval)(m_random); due > 0; --due) {
            if (m_open < maximumOpenRequests)
                sendNext(maximumReturns);
        }
    }

    void sendNext(size_t returns)
    {
        static const std::vector<std::string> paths { "/o/", "/o/", "/once/", "/m/", "/m/", "/r/" };
        const std::string id = "id-" + std::to_string(++m_sent);
        const std::string target = paths[draw(paths.size())] + "x";
        const bool isOrder = !target.starts_with("/r/");
        const size_t allowed = draw(4) == 0 ? 150 + draw(400) : 1500;
        const http_request message { isOrder ? "POST" : "GET", target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", id },
                { "Pollenroute-Deadline-Ms", std::to_string(allowed) } },
            isOrder ? "order" : "" };
        exchange_options options;
        // Some callers leave early.
        options.timeout = std::chrono::milliseconds(draw(30) == 0 ? allowed / 3 : allowed + 1500);
        ++m_open;
        const daemon_process& daemon = *m_daemons[draw(m_daemons.size())];
        m_record.note(id, "POST or GET " + target + " to " + daemon.id() + ", " + std::to_string(allowed) + " ms");
        m_client.fetch(daemon.callers(), message, options,
            [this, id, isOrder, returns](const exchange_result& result, const http_response& response) {
                --m_open;
                m_record.addResult(id, { isOrder, result.ok(), response.status, response.body });
                if (returns == 0 || !isPromise(response.status))
                    return;
                after(std::chrono::milliseconds(50 + draw(200)), [this, returns] { sendNext(returns - 1); });
            });
    }

    std::string describe(const std::string& id) const
    {
        std::string text = m_record.trace(id);
        for (const auto& daemon : m_daemons) {
            std::ifstream log(daemon->logFile());
            for (std::string line; std::getline(log, line);) {
                if (line.find('"' + id + '"') != std::string::npos)
                    text += "    " + daemon->id() + ": " + line + "\n";
            }
        }
        return text;
    }

    static constexpr size_t maximumReturns = 2;

    const site_sheet m_sheet;
    event_loop m_loop;
    os_clock m_time;
    random_source m_random;
    // Of its own, so that the other draws of a seed stay as they are.
    random_source m_evacuationRandom;
    std::filesystem::path m_directory;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    request_record m_record;
    std::vector<std::unique_ptr<queueing_server>> m_servers;
    std::set<queueing_server*> m_active;
    std::map<const queueing_server*, std::string> m_domains;
    std::map<std::string, evacuation_order> m_orders;
    std::map<const queueing_server*, std::deque<time_point>> m_lastSecond;
    duration m_troubleTime { 0 };
    std::optional<time_point> m_troubleSince;
    duration m_checkedTime { 0 };
    size_t m_beforeBound = 0;
    size_t m_afterBound = 0;
    size_t m_coldRequests = 0;
    size_t m_mostInSecond = 0;
    std::vector<resting_address> m_addresses;
    http_client m_client { m_loop };
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::vector<std::unique_ptr<timer>> m_timers;
    timer m_sender { m_loop, [this] { sendDue(); } };
    timer m_heart { m_loop, [this] {
                       for (const queueing_server* server : m_active)
                           writeEntry(*server, "ready");
                   } };
    std::set<std::string> m_ready;
    std::set<std::string> m_asked;
    time_point m_begin;
    size_t m_started = 0;
    size_t m_sent = 0;
    size_t m_open = 0;
    int m_version = 0;
};

} // namespace

// Guards against TWICE and REFUSED between real processes on a site under load. Runs one seed of the small site, or
// what the variables say.
TEST(SiteSoak, OrdersRunOnceAndPromisesHold)
{
    const site_sheet sheet = siteSheet(environment(sheetVariable, "small"));
    const std::string first = environment(firstSeedVariable, "1");
    const uint64_t last = std::stoull(environment(lastSeedVariable, first));
    for (uint64_t seed = std::stoull(first); seed <= last; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::cout << "seed " << seed << " ";
        site_soak soak(sheet, seed);
        soak.run();
        soak.check();
    }
}

} // namespace pollen
