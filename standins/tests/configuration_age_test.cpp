#include "daemon_process.h"
#include "relay_fixture.h"

namespace pollen {

namespace {

// The configuration limit of the daemons below.
constexpr duration configurationLimit = std::chrono::seconds(2);

// A configuration with one more route, /added/.
std::string configurationWithRoute(int version, const std::string& keys = "\"key\"")
{
    return replaced(configuration(version, keys), "\"routes\":[", R"("routes":[
{"name":"added","host":"h.example","path-prefix":"/added/","kind":"idempotent","timeout-ms":2000,"service":"desk",
"max-attempts":2},)");
}

struct answer {
    int status = 0;
    std::string retryAfter;
    std::string body;
};

// Daemons whose configuration may have been replaced without their knowledge.
class ConfigurationAgeTest : public testing::Test {
protected:
    ConfigurationAgeTest()
        : m_directory(std::filesystem::temp_directory_path() / ("pollen-configuration-age-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_directory);
        m_store.put("keyed.op", "config", configuration(1));
        m_store.put("keyed.servers", "s1", serverEntry("desk", m_server.address()));
    }
    void TearDown() override { std::filesystem::remove_all(m_directory); }

    void runFor(duration span)
    {
        m_loop.runUntil([] { return false; }, span);
    }

    answer ask(const endpoint& daemon, const std::string& target, const char* key = "key")
    {
        const http_request message { "GET", target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(++m_asked) },
                { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", key } },
            "" };
        std::optional<answer> got;
        m_caller.fetch(daemon, message, {}, [&](const exchange_result&, const http_response& response) {
            got = { response.status, std::string(findHeader(response.headers, "Retry-After")), response.body };
        });
        EXPECT_TRUE(m_loop.runUntil([&] { return got.has_value(); }, patience));
        return got.value_or(answer {});
    }

    bool isServed(const endpoint& daemon, const std::string& target, duration limit, const char* key = "key")
    {
        const time_point end = m_time.now() + limit;
        while (m_time.now() < end) {
            if (ask(daemon, target, key).status == 200)
                return true;
            runFor(std::chrono::milliseconds(20));
        }
        return false;
    }

    static void expectNotRun(const answer& got)
    {
        EXPECT_EQ(got.status, 503) << got.body;
        EXPECT_FALSE(got.retryAfter.empty());
        EXPECT_NE(got.body.find("not_run"), std::string::npos) << got.body;
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    backend_standin m_server { m_loop, { answers(200, "done") } };
    http_client m_caller { m_loop };
    std::filesystem::path m_directory;
    size_t m_asked = 0;
};

} // namespace

// Guards against DENIED: a daemon that the store had not answered for longer than a change may take to be in force
// denied a route and a key that had been added meanwhile. A caller does not repeat what is denied.
TEST_F(ConfigurationAgeTest, ADaemonWithAnOldConfigurationDeniesNothing)
{
    for (const int64_t outage : { 1, 2 }) {
        m_store.put("keyed.op", "config", configuration(static_cast<int>(outage) * 10));
        const fleet_daemon daemon(m_loop, m_log, m_time, m_store, "a1", "a");
        ASSERT_TRUE(isServed(daemon.address(), "/r/x", patience));
        m_store.set("outage", outage);
        runFor(configurationLimit);
        m_store.put(
            "keyed.op", "config", configurationWithRoute(static_cast<int>(outage) * 10 + 1, R"("key","added-key")"));
        expectNotRun(ask(daemon.address(), "/added/x"));
        expectNotRun(ask(daemon.address(), "/never/x"));
        expectNotRun(ask(daemon.address(), "/r/x", "added-key"));
        EXPECT_EQ(ask(daemon.address(), "/r/x").status, 200) << "what the configuration allows is served";
        m_store.set("outage", 0);
        EXPECT_TRUE(isServed(daemon.address(), "/added/x", patience));
        EXPECT_EQ(ask(daemon.address(), "/never/x").status, 404);
        EXPECT_EQ(ask(daemon.address(), "/r/x", "added-key").status, 200);
        EXPECT_EQ(ask(daemon.address(), "/r/x", "stranger").status, 401);
    }
}

// Guards against refusals that a caller repeats in vain, and against calls to the store for each of them.
TEST_F(ConfigurationAgeTest, WhatNeverExistedIsDeniedWithoutACallToTheStore)
{
    const fleet_daemon daemon(m_loop, m_log, m_time, m_store, "a1", "a");
    ASSERT_TRUE(isServed(daemon.address(), "/r/x", patience));
    const size_t before = m_store.calls();
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(ask(daemon.address(), "/never/" + std::to_string(i)).status, 404);
        EXPECT_EQ(ask(daemon.address(), "/r/x", "stranger").status, 401);
    }
    EXPECT_LE(m_store.calls() - before, 10U);
}

// Guards against DENIED: the newest configuration could not be read, and the daemon denied by the one before as if it
// were the newest.
TEST_F(ConfigurationAgeTest, AConfigurationThatCannotBeReadCountsAsUnknown)
{
    const fleet_daemon daemon(m_loop, m_log, m_time, m_store, "a1", "a");
    ASSERT_TRUE(isServed(daemon.address(), "/r/x", patience));
    m_store.put("keyed.op", "config", R"({"version":2,"routes":"?"})");
    runFor(configurationLimit);
    expectNotRun(ask(daemon.address(), "/added/x"));
    EXPECT_EQ(ask(daemon.address(), "/r/x").status, 200);
    m_store.put("keyed.op", "rollout/other", R"({"service":"other","target":"v2","duration-s":9})");
    runFor(configurationLimit / 4);
    expectNotRun(ask(daemon.address(), "/added/x"));
    m_store.put("keyed.op", "config", configurationWithRoute(3));
    EXPECT_TRUE(isServed(daemon.address(), "/added/x", configurationLimit));
    EXPECT_EQ(ask(daemon.address(), "/never/x").status, 404);
}

// Guards against DENIED: a process that goes on after a pause denied what had been added during the pause, before it
// had asked for a newer configuration.
TEST_F(ConfigurationAgeTest, AProcessThatWasPausedAsksBeforeItDenies)
{
    daemon_process daemon("a1", "a", loopbackAddress(31), m_store.address(), m_directory.string());
    daemon.start();
    ASSERT_TRUE(isServed(daemon.callers(), "/r/x", patience));
    for (const int version : { 2, 3 }) {
        daemon.signal(SIGSTOP);
        // Its read of the store ends without a record in this time.
        runFor(configurationLimit * 3 / 2);
        if (version == 2)
            m_store.put("keyed.op", "config", configurationWithRoute(version));
        timer resume(m_loop, [&] { daemon.signal(SIGCONT); });
        resume.startOnce(std::chrono::milliseconds(50));
        // The kernel accepts the request while the process is paused.
        EXPECT_EQ(ask(daemon.callers(), version == 2 ? "/added/x" : "/never/x").status, version == 2 ? 200 : 404);
    }
}

// Guards against DENIED: a daemon with an old configuration turned a body away that the newest one allows.
TEST_F(ConfigurationAgeTest, ADaemonWithAnOldConfigurationAppliesNoOldLimits)
{
    const auto limited = [](int version, const char* bytes) {
        return replaced(configuration(version), "\"routes\":[",
            std::string("\"limits\":{\"max-header-bytes\":20000,\"max-body-bytes\":") + bytes
                + ",\"header-timeout-ms\":3000,\"idle-timeout-ms\":5000},\"routes\":[");
    };
    const auto post = [&](const endpoint& daemon) {
        const http_request message { "POST", "/r/x",
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "p-" + std::to_string(++m_asked) },
                { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", "key" } },
            std::string(5000, 'x') };
        std::optional<int> status;
        m_caller.fetch(daemon, message, {},
            [&](const exchange_result&, const http_response& response) { status = response.status; });
        EXPECT_TRUE(m_loop.runUntil([&] { return status.has_value(); }, patience));
        return status.value_or(0);
    };
    m_store.put("keyed.op", "config", limited(2, "1000"));
    daemon_process daemon("a1", "a", loopbackAddress(33), m_store.address(), m_directory.string());
    daemon.start();
    ASSERT_TRUE(isServed(daemon.callers(), "/r/x", patience));
    EXPECT_EQ(post(daemon.callers()), 413);
    m_store.set("outage", 1);
    runFor(configurationLimit);
    m_store.put("keyed.op", "config", limited(3, "100000"));
    runFor(configurationLimit);
    const int status = post(daemon.callers());
    EXPECT_TRUE(status == 503 || status == 200) << status;
}

} // namespace pollen
