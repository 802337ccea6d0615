#include "relay_fixture.h"

namespace pollen {

namespace {

constexpr duration requestInterval = std::chrono::milliseconds(10);
// Requests in flight when the word comes may still arrive for this long.
constexpr duration inFlight = std::chrono::milliseconds(500);
constexpr duration pauseTime = std::chrono::milliseconds(1500);

// Three daemons in two failure domains before servers of one service that the store lists as ready throughout.
class ServerStatementTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_store.put("keyed.op", "config", configuration(1));
        for (const char* id : { "a1", "a2", "b1" })
            m_daemons.push_back(
                std::make_unique<fleet_daemon>(m_loop, m_log, m_time, m_store, id, std::string(id, 1).c_str()));
    }

    void list(const char* id, const backend_standin& backend, const char* service = "desk")
    {
        m_store.put("keyed.servers", id, serverEntry(service, backend.address()));
    }

    void awaitReady()
    {
        for (const auto& daemon : m_daemons)
            ASSERT_TRUE(m_loop.runUntil([&] { return daemon->relay().gateway().ready(); }, patience));
    }

    // Sends requests to the daemons in turn for the given time.
    void sendFor(duration span, const char* target = "/r/x")
    {
        const time_point end = m_time.now() + span;
        while (m_time.now() < end) {
            ask(target);
            const time_point next = m_time.now() + requestInterval;
            m_loop.runUntil([&] { return m_time.now() >= next; }, patience);
        }
        EXPECT_TRUE(m_loop.runUntil([&] { return m_open == 0; }, patience));
    }

    void ask(const char* target)
    {
        const http_request message { "GET", target,
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(++m_sent) },
                { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", "key" } },
            "" };
        ++m_open;
        m_caller.fetch(m_daemons[m_sent % m_daemons.size()]->address(), message, {},
            [this](const exchange_result&, const http_response& response) {
                --m_open;
                ++m_statuses[response.status];
                m_last = response;
            });
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    http_client m_caller { m_loop };
    std::vector<std::unique_ptr<fleet_daemon>> m_daemons;
    std::map<int, int> m_statuses;
    http_response m_last;
    size_t m_sent = 0;
    size_t m_open = 0;
};

const http_headers leaves { { "Server-Leaving", "1" } };

} // namespace

// Guards against DRAIN: a server says in an answer that it leaves, and gets new requests while its entry is still
// ready.
TEST_F(ServerStatementTest, AServerThatSaysThatItLeavesGetsNothingMore)
{
    struct leaving_case {
        const char* what;
        const char* service;
        const char* target;
        behaviour answer;
    };
    http_headers rejects = leaves;
    rejects.emplace_back("Pollenroute-Not-Executed", "1");
    const std::vector<leaving_case> cases {
        { "in an answer", "desk", "/r/x", answers(200, "last", leaves) },
        { "in a rejection", "desk", "/r/x", answers(503, "", rejects) },
        { "in an answer without a body", "desk", "/r/x", answers(204, "", leaves) },
        { "in the head of a stream", "advice", "/s/x", streams(2, true, leaves) },
    };
    for (const leaving_case& item : cases) {
        backend_standin leaving(m_loop, { item.answer });
        backend_standin stays(
            m_loop, { item.target == std::string("/s/x") ? streams(2, true) : answers(200, "stays") });
        const std::string id = "leaving-" + std::to_string(m_sent);
        list(id.c_str(), leaving, item.service);
        list("stays", stays, item.service);
        awaitReady();
        // The daemons read the entries in the meantime.
        sendFor(std::chrono::milliseconds(600), "/none");
        m_statuses.clear();
        sendFor(std::chrono::milliseconds(800), item.target);
        const size_t before = leaving.requests().size();
        EXPECT_GT(before, 0U) << item.what;
        sendFor(std::chrono::milliseconds(500), item.target);
        EXPECT_EQ(leaving.requests().size(), before) << item.what;
        // The entry lapses and comes back with the same process.
        m_store.put("keyed.servers", id, std::nullopt);
        sendFor(std::chrono::milliseconds(600), item.target);
        list(id.c_str(), leaving, item.service);
        sendFor(std::chrono::milliseconds(900), item.target);
        EXPECT_EQ(leaving.requests().size(), before) << item.what << ": its entry came back";
        EXPECT_EQ(m_statuses.size() - m_statuses.count(204), 1U) << item.what;
        m_store.put("keyed.servers", id, std::nullopt);
        m_store.put("keyed.servers", "stays", std::nullopt);
    }
}

// Guards against BUDGET: a server turns a request away with a time before which it wants no other, and gets more.
TEST_F(ServerStatementTest, AServerThatNamesAPauseIsLeftAloneForItAndUsedAgainAfterwards)
{
    std::vector<time_point> arrivals;
    const behaviour pauses = [&](const std::shared_ptr<server_request>& request) {
        arrivals.push_back(m_time.now());
        const bool first = arrivals.size() <= m_daemons.size();
        if (first)
            answers(503, "", { { "Pollenroute-Not-Executed", "1" }, { "Retry-After", "1.5" } })(request);
        else
            answers(200, "again")(request);
    };
    backend_standin paused(m_loop, { pauses });
    backend_standin other(m_loop, { answers(200, "other") });
    list("paused", paused);
    list("other", other);
    awaitReady();
    sendFor(pauseTime + std::chrono::seconds(2));
    ASSERT_GT(arrivals.size(), m_daemons.size());
    const auto within = [&](time_point from, time_point to) {
        return std::count_if(arrivals.begin(), arrivals.end(), [&](time_point at) { return at >= from && at < to; });
    };
    EXPECT_LE(within(arrivals.front() + inFlight, arrivals.front() + pauseTime), 2);
    EXPECT_GT(within(arrivals.front() + pauseTime, arrivals.front() + pauseTime + std::chrono::seconds(1)), 0);
    EXPECT_EQ(m_statuses.size(), 1U) << "callers notice nothing";
}

// Nothing is held until its deadline, and callers are told when to come back.
TEST_F(ServerStatementTest, WhereAllServersPauseCallersAreRefusedAtOnce)
{
    backend_standin only(
        m_loop, { answers(503, "", { { "Pollenroute-Not-Executed", "1" }, { "Retry-After", "1.5" } }) });
    list("only", only);
    awaitReady();
    sendFor(std::chrono::milliseconds(300));
    m_statuses.clear();
    const time_point sent = m_time.now();
    ask("/o/x");
    EXPECT_TRUE(m_loop.runUntil([&] { return m_open == 0; }, patience));
    EXPECT_LT(m_time.now() - sent, std::chrono::milliseconds(200));
    EXPECT_EQ(m_statuses, (std::map<int, int> { { 503, 1 } }));
    // Spread by half, so that callers do not come back together.
    const double retryAfter = std::atof(std::string(findHeader(m_last.headers, "Retry-After")).c_str());
    EXPECT_GT(retryAfter, 0.5);
    EXPECT_LT(retryAfter, 2.3);
}

// Guards against BUDGET: where all servers of a service had named a pause, each still got requests within it.
TEST_F(ServerStatementTest, WhereAllServersPauseNoneGetsRequestsWithinItsPause)
{
    std::vector<std::vector<time_point>> arrivals(4);
    std::vector<std::unique_ptr<backend_standin>> servers;
    for (size_t i = 0; i < arrivals.size(); ++i) {
        servers.push_back(std::make_unique<backend_standin>(m_loop,
            std::vector<behaviour> { [this, &times = arrivals[i]](const std::shared_ptr<server_request>& request) {
                times.push_back(m_time.now());
                answers(503, "", { { "Pollenroute-Not-Executed", "1" }, { "Retry-After", "1.5" } })(request);
            } }));
        list(("s" + std::to_string(i)).c_str(), *servers.back());
    }
    awaitReady();
    sendFor(pauseTime, "/o/x");
    for (const std::vector<time_point>& times : arrivals) {
        ASSERT_FALSE(times.empty());
        const auto late = std::count_if(times.begin(), times.end(),
            [&](time_point at) { return at >= times.front() + inFlight && at < times.front() + pauseTime; });
        EXPECT_LE(late, 2);
    }
}

TEST_F(ServerStatementTest, AMalformedPauseStopsNothing)
{
    backend_standin odd(m_loop,
        { answers(503, "", { { "Pollenroute-Not-Executed", "1" }, { "Retry-After", "-5" } }),
            answers(503, "", { { "Pollenroute-Not-Executed", "1" }, { "Retry-After", "soon" } }),
            answers(503, "", { { "Pollenroute-Not-Executed", "1" }, { "Retry-After", "nan" } }),
            answers(200, "fine", { { "Server-Leaving", "maybe" }, { "Retry-After", "1000" } }) });
    list("odd", odd);
    awaitReady();
    sendFor(std::chrono::seconds(1));
    EXPECT_GT(m_statuses[200], 30);
}

} // namespace pollen
