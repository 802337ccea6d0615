#include "relay_fixture.h"

#include <deque>

namespace pollen {

namespace {

// The fixture's settings name no overshoot and no slack. One request may be on its way while the next second begins.
constexpr size_t allowedInSecond = 8;
constexpr duration requestInterval = std::chrono::milliseconds(10);
constexpr size_t daemonsOfTheFleet = 6;

std::string configurationWithWarmUp()
{
    return replaced(configuration(1), R"({"name":"desk","max-conns":100})",
        R"({"name":"desk","max-conns":100,"cold-start-s":3.0,"cold-per-s":5.6})");
}

std::string entry(const backend_standin& server, const std::string& coldLeft)
{
    return replaced(serverEntry("desk", server.address()), "\"seq\":1", "\"seq\":1,\"cold-left-ms\":" + coldLeft);
}

// Six daemons in three failure domains before a warm server, which is slow, and one that returns and looks idle.
class WarmUpTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_store.put("keyed.op", "config", configurationWithWarmUp());
        m_store.put("keyed.servers", "warm", entry(m_warm, "0"));
        for (size_t i = 0; i < daemonsOfTheFleet; ++i) {
            const std::string domain(1, static_cast<char>('a' + i % 3));
            const std::string id = domain + std::to_string(i);
            m_daemons.push_back(
                std::make_unique<fleet_daemon>(m_loop, m_log, m_time, m_store, id.c_str(), domain.c_str()));
            ASSERT_TRUE(m_loop.runUntil([&] { return m_daemons.back()->relay().gateway().ready(); }, patience));
        }
    }

    void sendFor(duration span)
    {
        const time_point end = m_time.now() + span;
        while (m_time.now() < end) {
            const http_request message { "GET", "/r/x",
                { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(++m_sent) },
                    { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", "key" } },
                "" };
            ++m_open;
            m_caller.fetch(m_daemons[m_sent % daemonsOfTheFleet]->address(), message, {},
                [this](const exchange_result&, const http_response& response) {
                    --m_open;
                    ++m_statuses[response.status];
                });
            const time_point next = m_time.now() + requestInterval;
            m_loop.runUntil([&] { return m_time.now() >= next; }, patience);
        }
        EXPECT_TRUE(m_loop.runUntil([&] { return m_open == 0; }, patience));
    }

    behaviour records()
    {
        return [this](const std::shared_ptr<server_request>& request) {
            m_arrivals.push_back(m_time.now());
            request->reply(200, answerHeaders(*request, m_coldHeaders), "cold");
        };
    }

    size_t mostInSecond() const
    {
        std::deque<time_point> second;
        size_t most = 0;
        for (const time_point arrival : m_arrivals) {
            second.push_back(arrival);
            while (arrival - second.front() >= std::chrono::seconds(1))
                second.pop_front();
            most = std::max(most, second.size());
        }
        return most;
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    std::vector<time_point> m_arrivals;
    http_headers m_coldHeaders;
    backend_standin m_warm { m_loop, { answers(200, "warm", { { "Pollenroute-Server-Load", "5,0,6,300" } }) } };
    backend_standin m_cold { m_loop, { records() } };
    http_client m_caller { m_loop };
    std::vector<std::unique_ptr<fleet_daemon>> m_daemons;
    std::map<int, size_t> m_statuses;
    size_t m_sent = 0;
    size_t m_open = 0;
};

} // namespace

// Guards against FAILBACK: a server comes back cold and looks idle, so that all daemons choose it at the same moment.
TEST_F(WarmUpTest, AReturningServerGetsNoMoreThanItBears)
{
    m_store.put("keyed.servers", "cold", entry(m_cold, "3000"));
    sendFor(std::chrono::milliseconds(2800));
    EXPECT_LE(mostInSecond(), allowedInSecond);
    EXPECT_GT(m_arrivals.size(), 0U) << "the cold server is not used at all";
    EXPECT_EQ(m_statuses[200], m_sent) << "callers are served elsewhere";
    m_store.put("keyed.servers", "cold", entry(m_cold, "0"));
    sendFor(std::chrono::milliseconds(1000));
    EXPECT_GT(mostInSecond(), allowedInSecond) << "the warm server is still limited";
}

// Guards against FAILBACK: a server becomes cold without notice and says so only in its answers; and against an entry
// with nonsense that is lost or ends the warm-up.
TEST_F(WarmUpTest, WhatAnAnswerSaysCountsForAllDaemons)
{
    m_store.put("keyed.servers", "cold", entry(m_cold, "0"));
    sendFor(std::chrono::milliseconds(600));
    EXPECT_GT(m_arrivals.size(), allowedInSecond) << "a warm and idle server gets its part";
    m_coldHeaders = { { "Pollenroute-Cold-Ms", "3000" } };
    sendFor(std::chrono::milliseconds(700));
    m_arrivals.clear();
    m_store.put("keyed.servers", "cold", entry(m_cold, "\"soon\""));
    sendFor(std::chrono::milliseconds(1500));
    EXPECT_LE(mostInSecond(), allowedInSecond);
    EXPECT_EQ(m_statuses[200], m_sent);
}

} // namespace pollen
