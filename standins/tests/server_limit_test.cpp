#include "relay_fixture.h"

#include <deque>

namespace pollen {

namespace {

// The users' rule: within any four seconds a server gets at most one and a half times what its limit allows, and five
// requests, from three seconds after it first named the limit on.
constexpr duration ruleWindow = std::chrono::seconds(4);
constexpr duration ruleStart = std::chrono::seconds(3);
constexpr double ruleFactor = 1.5;
constexpr double ruleSlack = 5;

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
        m_caller.fetch(daemon->address(), message, {}, [this](const exchange_result&, const http_response& response) {
            --m_open;
            ++m_answers[response.status];
        });
    }

    // A server that names a limit; none if empty.
    behaviour namesLimit()
    {
        return [this](const std::shared_ptr<server_request>& request) {
            const time_point now = m_time.now();
            m_arrivals.push_back(now);
            http_headers headers;
            if (!m_limit.empty())
                headers.emplace_back("Server-Limit", m_limit);
            request->reply(200, answerHeaders(*request, headers), "done");
        };
    }

    // The most arrivals at the limited server within any window from a time on.
    size_t mostArrivals(time_point from) const
    {
        size_t most = 0;
        std::deque<time_point> window;
        for (const time_point arrival : m_arrivals) {
            if (arrival < from)
                continue;
            window.push_back(arrival);
            while (arrival - window.front() > ruleWindow)
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }

    static double allowed(double limit) { return limit * toSeconds(ruleWindow) * ruleFactor + ruleSlack; }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    std::string m_limit = "1.1";
    std::vector<time_point> m_arrivals;
    backend_standin m_limited { m_loop, { namesLimit() } };
    backend_standin m_other { m_loop, { answers(200, "done") } };
    std::vector<std::unique_ptr<fleet_daemon>> m_daemons { daemonsOfTheFleet };
    http_client m_caller { m_loop };
    size_t m_sent = 0;
    size_t m_open = 0;
    std::map<int, size_t> m_answers;
};

} // namespace

// Guards against LIMIT: a server that named a limit got the requests of all daemons as before, because none of them
// read it.
TEST_F(ServerLimitTest, TheFleetTogetherKeepsToTheLimitThatAServerNames)
{
    list("other", m_other);
    const time_point start = m_time.now();
    sendFor(std::chrono::seconds(9));
    EXPECT_LE(static_cast<double>(mostArrivals(start + ruleStart)), allowed(1.1));
    EXPECT_EQ(m_answers[200], m_sent);
}

} // namespace pollen
