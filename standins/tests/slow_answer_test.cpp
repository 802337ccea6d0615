#include "relay_fixture.h"

#include <set>
#include <thread>

namespace pollen {

namespace {

constexpr int learningRequests = 40;
constexpr duration learningTime = std::chrono::milliseconds(300);
// Longer than the delay after which an attempt is slow.
constexpr duration stopTime = std::chrono::milliseconds(300);

// Remembers the names of events.
class event_log final : public logger {
public:
    void write(log_level, std::string_view event, std::initializer_list<log_field>) override
    {
        m_events.insert(std::string(event));
    }
    size_t count(const char* event) const { return m_events.count(event); }

private:
    std::multiset<std::string> m_events;
};

// A daemon before two servers of each service. The first one stops answering on request.
class SlowAnswerTest : public testing::Test {
protected:
    void start(double extraRequests, const http_headers& healthyServersHeaders = {})
    {
        m_settings.slowAnswerExtraRequests = extraRequests;
        const auto hangsOnceSlow = [this](const behaviour& healthy) -> behaviour {
            return [this, healthy](const std::shared_ptr<server_request>& request) {
                if (!m_isSlow)
                    healthy(request);
            };
        };
        const behaviour read = answers(200, "done", healthyServersHeaders);
        const behaviour stream = streams(3, true);
        m_slowDesk = std::make_unique<backend_standin>(m_loop, std::vector { hangsOnceSlow(answers(200, "done")) });
        m_desk = std::make_unique<backend_standin>(m_loop, std::vector { read });
        m_slowEngine = std::make_unique<backend_standin>(m_loop, std::vector { hangsOnceSlow(stream) });
        m_engine = std::make_unique<backend_standin>(m_loop, std::vector { stream });
        m_store.put("keyed.op", "config", configuration(1));
        m_store.put("keyed.servers", "slow-desk", serverEntry("desk", m_slowDesk->address()));
        m_store.put("keyed.servers", "desk", serverEntry("desk", m_desk->address()));
        m_store.put("keyed.servers", "slow-engine", serverEntry("advice", m_slowEngine->address()));
        m_store.put("keyed.servers", "engine", serverEntry("advice", m_engine->address()));
        m_relay = std::make_unique<platform_relay>(m_loop, m_settings, m_log, m_time);
        m_front = std::make_unique<http_server>(m_loop, endpoint { "127.0.0.1", 0 }, http_server_limits {},
            [this](const std::shared_ptr<server_request>& message) { m_relay->gateway().handle(message); });
        m_ticker.startRepeating(std::chrono::milliseconds(10));
        m_relay->start();
        ASSERT_TRUE(m_loop.runUntil([&] { return m_relay->gateway().ready(); }, patience));
        m_loop.runUntil([] { return false; }, learningTime);
    }

    void start(const std::string& method, const std::string& target, std::optional<http_response>& got)
    {
        const http_request message { method, target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(++m_sent) },
                { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", "key" } },
            "" };
        m_caller.fetch(m_front->address(), message, {},
            [&](const exchange_result&, const http_response& response) { got = response; });
    }

    http_response send(const std::string& method, const std::string& target)
    {
        std::optional<http_response> got;
        start(method, target, got);
        EXPECT_TRUE(m_loop.runUntil([&] { return got.has_value(); }, patience));
        return got.value_or(http_response {});
    }

    // Sends requests until one has reached the slow server; returns the last answer.
    http_response sendToSlowServer(const char* method, const char* target, const backend_standin& slow)
    {
        for (int i = 0; i < learningRequests; ++i)
            EXPECT_EQ(send(method, target).status, 200);
        m_isSlow = true;
        const size_t before = slow.requests().size();
        http_response last;
        for (int i = 0; i < learningRequests && slow.requests().size() == before; ++i)
            last = send(method, target);
        EXPECT_EQ(slow.requests().size(), before + 1) << "one request has been sent to the slow server, once";
        return last;
    }

    // Sends reads until one waits for the slow server.
    void waitForSlowServer(std::optional<http_response>& got)
    {
        for (int i = 0; i < learningRequests; ++i)
            EXPECT_EQ(send("GET", "/r/x").status, 200);
        m_isSlow = true;
        const size_t before = m_slowDesk->requests().size();
        for (int i = 0; i < learningRequests && m_slowDesk->requests().size() == before; ++i) {
            got.reset();
            start("GET", "/r/x", got);
            EXPECT_TRUE(
                m_loop.runUntil([&] { return got.has_value() || m_slowDesk->requests().size() > before; }, patience));
        }
        ASSERT_EQ(m_slowDesk->requests().size(), before + 1);
    }

    bool hasMetric(const char* outcome)
    {
        const std::string text = m_relay->renderMetrics();
        const size_t family = text.find("pollen_relay_slow_answer_repeats_total{");
        return family != std::string::npos
            && text.find(std::string("outcome=\"") + outcome + "\"", family) != std::string::npos;
    }

    event_loop m_loop;
    event_log m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    node_settings m_settings { instance_id("d1"), failure_domain_name("a"), { "127.0.0.1", 0 }, { "127.0.0.1", 0 },
        m_store.address(), { "127.0.0.1", 0 }, std::chrono::seconds(2), std::chrono::milliseconds(300),
        std::chrono::seconds(8), std::chrono::milliseconds(1500), std::chrono::seconds(5), repeatShare, repeatSlack,
        repeatWindow, exposureShare, exposureSlack };
    std::unique_ptr<backend_standin> m_slowDesk;
    std::unique_ptr<backend_standin> m_desk;
    std::unique_ptr<backend_standin> m_slowEngine;
    std::unique_ptr<backend_standin> m_engine;
    std::unique_ptr<platform_relay> m_relay;
    std::unique_ptr<http_server> m_front;
    http_client m_caller { m_loop };
    timer m_ticker { m_loop, [this] { m_relay->tick(m_time.now()); } };
    bool m_isSlow = false;
    int m_sent = 0;
};

} // namespace

// Guards against a request that waits for a server that hangs although another one would answer, and against a first
// attempt that goes on running.
TEST_F(SlowAnswerTest, AReadIsRepeatedAndTheFirstAttemptIsCancelled)
{
    start(0.1);
    const http_response last = sendToSlowServer("GET", "/r/x", *m_slowDesk);
    EXPECT_EQ(last.status, 200);
    EXPECT_EQ(last.body, "done");
    EXPECT_EQ(m_desk->requests().size() + m_slowDesk->requests().size(), static_cast<size_t>(m_sent) + 1);
    EXPECT_TRUE(m_loop.runUntil([&] { return m_slowDesk->hungUp == 1; }, patience)) << "the slow server is told";
    EXPECT_EQ(m_log.count("slow_answer_repeated"), 1U);
    EXPECT_TRUE(hasMetric("sent"));
    EXPECT_TRUE(hasMetric("won"));
}

TEST_F(SlowAnswerTest, AResumableStreamIsRepeatedBeforeItsFirstByte)
{
    start(0.1);
    const http_response last = sendToSlowServer("POST", "/s/x", *m_slowEngine);
    EXPECT_EQ(last.status, 200);
    EXPECT_EQ(last.body, event(1) + event(2) + event(3));
    EXPECT_TRUE(m_loop.runUntil([&] { return m_slowEngine->hungUp == 1; }, patience));
    EXPECT_EQ(m_log.count("slow_answer_repeated"), 1U);
}

// Guards against TWICE: a request that may run only once was sent to a second server.
TEST_F(SlowAnswerTest, ARequestThatMayRunOnlyOnceGetsNoRepeat)
{
    start(1);
    for (int i = 0; i < learningRequests; ++i)
        EXPECT_EQ(send("GET", "/r/x").status, 200);
    EXPECT_EQ(sendToSlowServer("POST", "/o/x", *m_slowDesk).status, 504);
    EXPECT_EQ(m_desk->requests().size() + m_slowDesk->requests().size(), static_cast<size_t>(m_sent));
    EXPECT_EQ(m_log.count("slow_answer_repeated"), 0U);
}

// Guards against a feature that is not off by default.
TEST_F(SlowAnswerTest, WithoutALimitNothingIsRepeated)
{
    start(0);
    EXPECT_EQ(sendToSlowServer("GET", "/r/x", *m_slowDesk).status, 504);
    EXPECT_EQ(m_log.count("slow_answer_repeated"), 0U);
    EXPECT_EQ(m_relay->renderMetrics().find("slow_answer"), std::string::npos);
}

// Guards against repeats beyond the operators' limit: 0.001 of the requests sent so far is less than one.
TEST_F(SlowAnswerTest, TheLimitDeniesARepeat)
{
    start(0.001);
    EXPECT_EQ(sendToSlowServer("GET", "/r/x", *m_slowDesk).status, 504);
    EXPECT_TRUE(hasMetric("denied_by_limit"));
}

// Guards against a repeat sent beyond the fleet's retry budget.
TEST_F(SlowAnswerTest, TheRetryBudgetDeniesARepeat)
{
    m_settings.retryShare = 0;
    m_settings.retrySlack = 0;
    start(1);
    // A daemon may always send one retry.
    EXPECT_EQ(sendToSlowServer("GET", "/r/x", *m_slowDesk).status, 200);
    m_isSlow = false;
    EXPECT_EQ(sendToSlowServer("GET", "/r/x", *m_slowDesk).status, 504);
    EXPECT_TRUE(hasMetric("denied_by_retry_budget"));
}

// Guards against exceeding the rate limit of a server.
TEST_F(SlowAnswerTest, AServerWithARateLimitGetsNoRepeat)
{
    start(1, { { "Server-Limit", "1000" } });
    EXPECT_EQ(sendToSlowServer("GET", "/r/x", *m_slowDesk).status, 504);
    EXPECT_EQ(m_log.count("slow_answer_repeated"), 0U);
}

// Guards against a verdict on a version from which the slow answers have been taken away.
TEST_F(SlowAnswerTest, NothingIsRepeatedWhileARolloutOfTheServiceRuns)
{
    start(1);
    m_store.put("keyed.op", "rollout/desk", R"({"service":"desk","target":"v2","duration-s":60})");
    ASSERT_TRUE(m_loop.runUntil([&] { return m_log.count("rollout_seen") > 0; }, patience));
    EXPECT_EQ(sendToSlowServer("GET", "/r/x", *m_slowDesk).status, 504);
    EXPECT_EQ(m_log.count("slow_answer_repeated"), 0U);
}

// Guards against a repeat to a server of the old version after the roll-out is complete, when these servers stop at
// once. The first attempt was sent while the roll-out ran.
TEST_F(SlowAnswerTest, AfterARolloutTheOldVersionGetsNoRepeat)
{
    start(1);
    m_store.put("keyed.op", "rollout/desk", R"({"service":"desk","target":"v2","duration-s":60})");
    ASSERT_TRUE(m_loop.runUntil([&] { return m_log.count("rollout_seen") > 0; }, patience));
    std::optional<http_response> got;
    waitForSlowServer(got);
    const size_t before = m_desk->requests().size();
    m_store.put("keyed.status", "rollout/desk", R"({"service":"desk","target":"v2","state":"complete"})");
    ASSERT_TRUE(m_loop.runUntil([&] { return got.has_value(); }, patience));
    EXPECT_EQ(got->status, 504);
    EXPECT_EQ(m_desk->requests().size(), before);
    EXPECT_EQ(m_log.count("slow_answer_repeated"), 0U);
}

// Guards against cancelling attempts whose answers wait unread in the sockets, because the daemon was stopped. One turn
// of the loop reads some of the sockets only, and the timers may run before the others are read.
TEST_F(SlowAnswerTest, AnAnswerThatArrivesWhileTheDaemonIsStoppedIsDelivered)
{
    start(1);
    std::optional<http_response> got;
    waitForSlowServer(got);
    const size_t before = m_desk->requests().size();
    answers(200, "late")(m_slowDesk->held.back());
    std::this_thread::sleep_for(stopTime);
    m_relay->tick(m_time.now());
    ASSERT_TRUE(m_loop.runUntil([&] { return got.has_value(); }, patience));
    EXPECT_EQ(got->body, "late");
    EXPECT_EQ(m_desk->requests().size(), before);
    EXPECT_EQ(m_slowDesk->hungUp, 0U);
}

} // namespace pollen
