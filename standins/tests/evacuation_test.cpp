#include "daemon_process.h"
#include "relay_fixture.h"

namespace pollen {

namespace {

// Within this time all daemons know an order; a tenth of the platform's bound.
constexpr duration propagation = std::chrono::milliseconds(500);

// `evacuate-ms` of the requirements.
constexpr duration evacuationLimit = std::chrono::milliseconds(5000);
constexpr int requestsAfterPause = 8;

// Daemons in two failure domains before two servers of one service, one in each domain.
class EvacuationTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_store.put("keyed.op", "config", configuration(1));
        list("s-a", m_serverA, "a");
        list("s-b", m_serverB, "b");
        startDaemon("a1");
        startDaemon("b1");
    }

    void startDaemon(const char* id)
    {
        m_daemons.push_back(
            std::make_unique<fleet_daemon>(m_loop, m_log, m_time, m_store, id, std::string(id, 1).c_str()));
        ASSERT_TRUE(m_loop.runUntil([&] { return m_daemons.back()->relay().gateway().ready(); }, patience));
    }

    void list(const char* id, const backend_standin& backend, const char* domain, const char* service = "desk")
    {
        m_store.put("keyed.servers", id,
            replaced(
                serverEntry(service, backend.address()), "\"zone\":\"a\"", std::string("\"zone\":\"") + domain + "\""));
    }

    void runFor(duration span)
    {
        m_loop.runUntil([] { return false; }, span);
    }

    // Sends a request to each daemon and returns the statuses.
    std::multiset<int> askAll()
    {
        std::multiset<int> statuses;
        for (const auto& daemon : m_daemons) {
            const http_request message { "GET", "/r/x",
                { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(++m_sent) },
                    { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", "key" } },
                "" };
            m_caller.fetch(daemon->address(), message, {},
                [&](const exchange_result&, const http_response& response) { statuses.insert(response.status); });
        }
        EXPECT_TRUE(m_loop.runUntil([&] { return statuses.size() == m_daemons.size(); }, patience));
        return statuses;
    }

    // Sends many requests and expects that all are served, by one server only if it is named.
    void expectServedBy(const backend_standin* only)
    {
        const size_t before = m_serverA.requests().size() + m_serverB.requests().size();
        const size_t beforeOther = only ? (only == &m_serverA ? m_serverB : m_serverA).requests().size() : 0;
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(askAll().count(200), m_daemons.size());
        EXPECT_EQ(m_serverA.requests().size() + m_serverB.requests().size() - before, 10 * m_daemons.size());
        if (only) {
            EXPECT_EQ((only == &m_serverA ? m_serverB : m_serverA).requests().size(), beforeOther);
        }
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    backend_standin m_serverA { m_loop, { answers(200, "a") } };
    backend_standin m_serverB { m_loop, { answers(200, "b") } };
    http_client m_caller { m_loop };
    std::vector<std::unique_ptr<fleet_daemon>> m_daemons;
    size_t m_sent = 0;
};

} // namespace

// Guards against EVAC: requests that go on to a failure domain under evacuation, also from a daemon that starts later
// or whose order names nothing readable; and against callers that are refused while another domain can serve them.
TEST_F(EvacuationTest, ADomainUnderEvacuationGetsNothingUntilTheOrderIsWithdrawn)
{
    m_store.put("keyed.op", "evacuate/a", "{}");
    runFor(propagation);
    expectServedBy(&m_serverB);
    startDaemon("a2");
    expectServedBy(&m_serverB);
    m_store.put("keyed.op", "evacuate/", "{}");
    m_store.put("keyed.op", "evacuate/nowhere", "{}");
    runFor(propagation);
    expectServedBy(&m_serverB);
    m_store.put("keyed.op", "evacuate/a", std::nullopt);
    runFor(propagation);
    expectServedBy(nullptr);
    EXPECT_GT(m_serverA.requests().size(), 0U);
    m_store.put("keyed.op", "evacuate/b", "?");
    runFor(propagation);
    expectServedBy(&m_serverA);
}

// Guards against requests that wait for their deadline although no server of their service is left.
TEST_F(EvacuationTest, WithAllDomainsUnderEvacuationRequestsAreRefusedAtOnce)
{
    m_store.put("keyed.op", "evacuate/a", "{}");
    m_store.put("keyed.op", "evacuate/b", "{}");
    runFor(propagation);
    const size_t before = m_serverA.requests().size() + m_serverB.requests().size();
    const time_point asked = m_time.now();
    EXPECT_EQ(askAll().count(503), m_daemons.size());
    EXPECT_LT(m_time.now() - asked, std::chrono::milliseconds(1000)) << "held although nothing could serve them";
    EXPECT_EQ(m_serverA.requests().size() + m_serverB.requests().size(), before);
}

// Guards against an order that is lost, or a withdrawn one that returns, when the store comes back from an older copy.
TEST_F(EvacuationTest, OrdersOutliveAStoreThatIsRestoredFromAnOlderCopy)
{
    m_store.put("keyed.op", "evacuate/b", "{}");
    runFor(propagation);
    m_store.set("copy", 1);
    m_store.put("keyed.op", "evacuate/b", std::nullopt);
    m_store.put("keyed.op", "evacuate/a", "{}");
    runFor(propagation);
    expectServedBy(&m_serverB);
    m_store.set("restore", 1);
    runFor(propagation);
    expectServedBy(&m_serverB);
}

// Guards against EVAC: a process that goes on after a pause sent what had arrived during the pause to the domain,
// before it had asked for orders. The route is public, as keys that are too old refuse requests by themselves.
TEST_F(EvacuationTest, AProcessThatWasPausedAsksBeforeItSends)
{
    const std::filesystem::path directory
        = std::filesystem::temp_directory_path() / ("pollen-evacuation-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    daemon_process daemon("a9", "a", loopbackAddress(41), m_store.address(), directory.string());
    daemon.start();
    std::multiset<int> statuses;
    const auto ask = [&] {
        m_caller.fetch(daemon.callers(),
            { "GET", "/open/x",
                { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(++m_sent) },
                    { "Pollenroute-Deadline-Ms", "1500" } },
                "" },
            {}, [&](const exchange_result&, const http_response& response) { statuses.insert(response.status); });
        const size_t before = statuses.size();
        return [&statuses, before] { return statuses.size() > before; };
    };
    const time_point givenUp = m_time.now() + patience;
    while (!statuses.contains(200) && m_time.now() < givenUp)
        m_loop.runUntil(ask(), patience);
    ASSERT_TRUE(statuses.contains(200));
    daemon.signal(SIGSTOP);
    m_store.put("keyed.op", "evacuate/a", "{}");
    runFor(evacuationLimit);
    statuses.clear();
    const size_t before = m_serverA.requests().size();
    // The kernel accepts the requests while the process is paused.
    for (int i = 0; i < requestsAfterPause; ++i)
        ask();
    runFor(std::chrono::milliseconds(50));
    daemon.signal(SIGCONT);
    EXPECT_TRUE(m_loop.runUntil([&] { return statuses.size() == requestsAfterPause; }, patience));
    EXPECT_EQ(m_serverA.requests().size(), before);
    std::filesystem::remove_all(directory);
}

// Guards against streams that are cut because their failure domain is evacuated.
TEST_F(EvacuationTest, AStreamThatRunsInTheDomainEndsInPeace)
{
    std::shared_ptr<server_request> running;
    backend_standin engine(m_loop, { [&](const std::shared_ptr<server_request>& request) {
        running = request;
        request->startStream(200, answerHeaders(*request));
        request->sendPart(event(1));
    } });
    list("e-a", engine, "a", "advice");
    runFor(propagation);
    const http_request message { "POST", "/s/x",
        { { "Host", "h.example" }, { "Pollenroute-Request-Id", "stream" }, { "Pollenroute-Deadline-Ms", "4000" },
            { "Pollenroute-Key", "key" } },
        "" };
    std::optional<http_response> got;
    m_caller.fetch(m_daemons.front()->address(), message, {},
        [&](const exchange_result&, const http_response& response) { got = response; });
    ASSERT_TRUE(m_loop.runUntil([&] { return running != nullptr; }, patience));
    m_store.put("keyed.op", "evacuate/a", "{}");
    runFor(propagation);
    running->sendPart(event(2));
    running->endStream();
    ASSERT_TRUE(m_loop.runUntil([&] { return got.has_value(); }, patience));
    EXPECT_EQ(got->body, event(1) + event(2));
    EXPECT_EQ(engine.hungUp, 0U);
}

} // namespace pollen
