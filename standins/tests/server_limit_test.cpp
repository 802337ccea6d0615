#include "relay_fixture.h"

#include <limit_rule.h>

namespace pollen {

namespace {

// The rule holds from this time after a server first named its limit on.
constexpr duration ruleStart = std::chrono::seconds(3);

constexpr duration requestInterval = std::chrono::milliseconds(20);
constexpr size_t daemonsOfTheFleet = 9;
constexpr size_t failureDomains = 4;

// Nine daemons in four failure domains before two servers of one service. Callers send fifty requests a second, spread
// over the daemons.
class ServerLimitTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_store.put("keyed.op", "config", configuration(1));
        list("limited", m_limited);
        for (size_t i = 0; i < daemonsOfTheFleet; ++i)
            startDaemon(i);
    }

    void list(const char* id, const backend_standin& backend)
    {
        m_store.put("keyed.servers", id, serverEntry("desk", backend.address()));
    }

    void startDaemon(size_t i)
    {
        const std::string id = "d" + std::to_string(i);
        const std::string domain(1, static_cast<char>('a' + i % failureDomains));
        m_daemons[i] = std::make_unique<fleet_daemon>(m_loop, m_log, m_time, m_store, id.c_str(), domain.c_str());
        ASSERT_TRUE(m_loop.runUntil([&] { return m_daemons[i]->relay().gateway().ready(); }, patience));
    }

    // Sends requests for the given time, to the daemons in turn.
    void sendFor(duration time, const char* method = "GET", const char* target = "/r/x")
    {
        const time_point end = m_time.now() + time;
        while (m_time.now() < end) {
            const time_point next = m_time.now() + requestInterval;
            sendOne(method, target);
            m_loop.runUntil([&] { return m_time.now() >= next; }, patience);
        }
        EXPECT_TRUE(m_loop.runUntil([&] { return m_open == 0; }, patience));
    }

    void sendOne(const char* method, const char* target)
    {
        const auto& daemon = m_daemons[++m_sent % m_daemons.size()];
        if (!daemon)
            return;
        const http_request message { method, target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(m_sent) },
                { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", "key" } },
            "" };
        ++m_open;
        m_caller.fetch(daemon->address(), message, {},
            [this, sentAt = m_time.now()](const exchange_result&, const http_response& response) {
                --m_open;
                ++m_answers[response.status];
                m_slowest = std::max(m_slowest, m_time.now() - sentAt);
                if (response.status == 503 && response.body.find("not_run") != std::string::npos
                    && !findHeader(response.headers, "Retry-After").empty())
                    ++m_refusals;
            });
    }

    // A server that names a limit; none if empty.
    behaviour namesLimit()
    {
        return [this](const std::shared_ptr<server_request>& request) {
            const time_point now = m_time.now();
            m_arrivals.push_back(now);
            if (m_rejectsEverySecond && m_arrivals.size() % 2 == 0) {
                isFull(request);
                return;
            }
            http_headers headers;
            if (!m_limit.empty())
                headers.emplace_back("Server-Limit", m_limit);
            request->reply(m_limitedStatus, answerHeaders(*request, headers), "done");
        };
    }

    // The most arrivals at the limited server in any window of the rule, from a time on.
    double mostArrivals(time_point from) const
    {
        std::vector<time_point> arrivals;
        std::copy_if(m_arrivals.begin(), m_arrivals.end(), std::back_inserter(arrivals),
            [&](time_point arrival) { return arrival >= from; });
        return mostInWindow(arrivals);
    }
    double arrivalsSince(time_point from) const
    {
        return static_cast<double>(
            std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](time_point arrival) { return arrival >= from; }));
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    std::string m_limit = "1.1";
    int m_limitedStatus = 200;
    // Rejections do not name the limit.
    bool m_rejectsEverySecond = false;
    std::vector<time_point> m_arrivals;
    backend_standin m_limited { m_loop, { namesLimit() } };
    backend_standin m_other { m_loop, { answers(200, "done") } };
    std::vector<std::unique_ptr<fleet_daemon>> m_daemons { daemonsOfTheFleet };
    http_client m_caller { m_loop };
    size_t m_sent = 0;
    size_t m_open = 0;
    std::map<int, size_t> m_answers;
    // Answers that say that the request has not run, and when to come back.
    size_t m_refusals = 0;
    duration m_slowest { 0 };
};

} // namespace

// Guards against LIMIT: a server that named a limit got the requests of all daemons as before, because none of them
// read it.
TEST_F(ServerLimitTest, TheFleetTogetherKeepsToTheLimitThatAServerNames)
{
    list("other", m_other);
    const time_point start = m_time.now();
    sendFor(std::chrono::seconds(9));
    EXPECT_LE(mostArrivals(start + ruleStart), allowedInWindow(1.1));
    EXPECT_EQ(m_answers[200], m_sent);
}

// Guards against a limit that is kept by holding requests or by leaving it unused: what no server takes is refused at
// once.
TEST_F(ServerLimitTest, WhatNoServerTakesIsRefusedAtOnceAndNotRun)
{
    m_limit = "8";
    const time_point start = m_time.now();
    sendFor(std::chrono::seconds(10), "POST", "/o/x");
    EXPECT_LE(mostArrivals(start + ruleStart), allowedInWindow(8));
    constexpr double measuredSeconds = 7;
    EXPECT_GE(arrivalsSince(start + ruleStart), 0.8 * 8 * measuredSeconds);
    EXPECT_EQ(m_answers[200], m_arrivals.size());
    EXPECT_EQ(m_answers[503], m_refusals);
    EXPECT_EQ(m_answers[200] + m_answers[503], m_sent);
    EXPECT_LT(m_slowest, std::chrono::milliseconds(500));
}

// Guards against LIMIT on retries: a server with a limit fails what it runs, and requests go from it to another and
// back.
TEST_F(ServerLimitTest, RetriesKeepToTheLimitAsWell)
{
    m_limitedStatus = 500;
    backend_standin failing(m_loop, { answers(500, "failed") });
    list("failing", failing);
    const time_point start = m_time.now();
    sendFor(std::chrono::seconds(9));
    EXPECT_LE(mostArrivals(start + ruleStart), allowedInWindow(1.1));
}

// Guards against LIMIT: a server in need that turns requests away, as its queue is full, has not ended its limit.
TEST_F(ServerLimitTest, ARejectionWithoutALimitDoesNotEndIt)
{
    m_rejectsEverySecond = true;
    list("other", m_other);
    const time_point start = m_time.now();
    sendFor(std::chrono::seconds(9));
    EXPECT_LE(mostArrivals(start + ruleStart), allowedInWindow(1.1));
}

// Guards against a server that is left out for good after its need has passed.
TEST_F(ServerLimitTest, AServerThatNamesNoLimitAnyMoreGetsItsShareAgain)
{
    list("other", m_other);
    sendFor(std::chrono::seconds(4));
    m_limit.clear();
    sendFor(std::chrono::seconds(5));
    const time_point again = m_time.now();
    sendFor(std::chrono::seconds(2));
    EXPECT_GE(arrivalsSince(again), 0.3 * 2 * (std::chrono::seconds(1) / requestInterval));
}

// Guards against LIMIT while the fleet changes: daemons that start anew know neither the limit nor what was sent, and
// without the store they cannot ask it.
TEST_F(ServerLimitTest, RestartsAndALostStoreDoNotAddToTheLimit)
{
    list("other", m_other);
    const time_point start = m_time.now();
    sendFor(std::chrono::seconds(3), "GET", "/open/x");
    for (size_t i = 0; i < failureDomains; ++i) {
        m_daemons[i].reset();
        sendFor(std::chrono::milliseconds(300), "GET", "/open/x");
        startDaemon(i);
        sendFor(std::chrono::milliseconds(700), "GET", "/open/x");
    }
    m_store.set("outage", 2);
    sendFor(std::chrono::seconds(5), "GET", "/open/x");
    EXPECT_LE(mostArrivals(start + ruleStart), allowedInWindow(1.1));
    EXPECT_GE(arrivalsSince(start + ruleStart), 0.5 * 1.1 * toSeconds(m_time.now() - start - ruleStart));
}

// Guards against PINNED: a session that had moved to the new version went back to the old one when the servers of the
// new version had used up their limits.
TEST_F(ServerLimitTest, ASessionKeepsItsVersionWhereItsServersAreAtTheirLimits)
{
    m_limit = "0.1";
    m_store.put("keyed.servers", "limited", serverEntry("desk", m_limited.address(), "ready", "v2"));
    list("other", m_other);
    m_store.put("keyed.op", "rollout/desk", R"({"service":"desk","target":"v2","duration-s":2})");
    ASSERT_TRUE(m_loop.runUntil([&] { return m_store.newest("keyed.status", "rollout/desk").has_value(); }, patience));
    const auto ask = [&] {
        std::optional<int> status;
        const http_request message { "GET", "/r/x",
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id" }, { "Session", "one" },
                { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", "key" } },
            "" };
        m_caller.fetch(m_daemons[0]->address(), message, {},
            [&](const exchange_result&, const http_response& response) { status = response.status; });
        EXPECT_TRUE(m_loop.runUntil([&] { return status.has_value(); }, patience));
        return status.value_or(0);
    };
    const time_point end = m_time.now() + patience;
    while (m_arrivals.empty() && m_time.now() < end)
        EXPECT_EQ(ask(), 200);
    ASSERT_FALSE(m_arrivals.empty());
    const size_t before = m_other.requests().size();
    EXPECT_EQ(ask(), 503);
    EXPECT_EQ(ask(), 503);
    EXPECT_EQ(m_other.requests().size(), before);
}

} // namespace pollen
