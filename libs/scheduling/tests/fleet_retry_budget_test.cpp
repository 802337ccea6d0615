#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <scheduling/fleet_retry_budget.h>

namespace pollen {

namespace {

const time_point start { std::chrono::seconds(1000) };
const service_name desk("desk");
const service_name engines("engines");

// Requests and retries of one service in the last seconds.
class sliding_window {
public:
    explicit sliding_window(size_t seconds)
        : m_seconds(seconds)
    {
    }
    void addSecond(int requests, int retries)
    {
        m_history.emplace_back(requests, retries);
        if (m_history.size() > m_seconds)
            m_history.pop_front();
    }
    double requests() const
    {
        return sum([](const auto& second) { return second.first; });
    }
    double retries() const
    {
        return sum([](const auto& second) { return second.second; });
    }

private:
    template <typename Field> double sum(Field field) const
    {
        double total = 0;
        for (const auto& second : m_history)
            total += field(second);
        return total;
    }
    size_t m_seconds;
    std::deque<std::pair<int, int>> m_history;
};

} // namespace

// Guards against exceeding the fleet's limit: the daemons' parts of the retries added up to more. After an idle period
// every request to one service needs five retries, while another service is busy and daemons restart one after the
// other.
TEST(FleetRetryBudget, ThePartsOfAllDaemonsStayWithinTheFleetLimit)
{
    struct deployment {
        const char* what;
        size_t daemons;
        fleet_retry_budget::fleet_limit limit;
        int deskRequestsPerSecond;
        int engineRequestsPerSecond;
        size_t restartsPerSecond;
    };
    const std::vector<deployment> cases {
        { "nine daemons", 9, { 0.9, 58 }, 11, 24, 0 },
        { "nine daemons, little traffic", 9, { 0.9, 58 }, 1, 1, 0 },
        { "nine daemons, restarted in turn", 9, { 0.9, 58 }, 11, 24, 1 },
        { "six daemons, a burst", 6, { 0.9, 52 }, 80, 20, 0 },
        { "seventy-two daemons", 72, { 0.9, 184 }, 92, 260, 0 },
        { "seventy-two daemons, restarted in turn", 72, { 0.9, 184 }, 92, 260, 7 },
    };
    constexpr int idleSeconds = 20;
    constexpr int seconds = 60;
    constexpr size_t windowSeconds = 10;
    constexpr int retriesWanted = 5;
    std::mt19937 random(1);
    for (const deployment& given : cases) {
        std::vector<fleet_retry_budget> fleet(given.daemons, fleet_retry_budget(given.limit));
        for (fleet_retry_budget& daemon : fleet)
            daemon.setDaemonCount(given.daemons);
        std::uniform_int_distribution<size_t> any(0, given.daemons - 1);
        sliding_window window(windowSeconds);
        size_t nextRestart = 0;
        for (int second = 0; second < seconds; ++second) {
            const time_point now = start + std::chrono::seconds(second);
            int retries = 0;
            for (int i = 0; i < given.engineRequestsPerSecond; ++i)
                fleet[any(random)].onRequest(engines, now);
            for (int i = 0; i < given.deskRequestsPerSecond; ++i) {
                fleet_retry_budget& daemon = fleet[any(random)];
                daemon.onRequest(desk, now);
                const int wanted = second < idleSeconds ? 0 : retriesWanted;
                for (int retry = 0; retry < wanted && daemon.take(desk, now); ++retry)
                    ++retries;
            }
            for (size_t i = 0; i < given.restartsPerSecond; ++i) {
                fleet_retry_budget& restarted = fleet[nextRestart++ % given.daemons];
                restarted = fleet_retry_budget(given.limit);
                restarted.setDaemonCount(given.daemons);
            }
            window.addSecond(given.deskRequestsPerSecond, retries);
            EXPECT_LE(window.retries(), given.limit.share * window.requests() + given.limit.slack)
                << given.what << ", second " << second;
        }
        EXPECT_GE(window.retries(), given.limit.share * window.requests() / 2)
            << given.what << ": at least half of the share is usable";
    }
}

TEST(FleetRetryBudget, ADaemonThatDoesNotKnowTheOthersYetMayRetryOnce)
{
    fleet_retry_budget budget({ 0.9, 58 });
    budget.onRequest(desk, start);
    EXPECT_TRUE(budget.take(desk, start));
    EXPECT_FALSE(budget.take(desk, start)) << "one request allows one retry";
    EXPECT_TRUE(budget.take(engines, start)) << "services have budgets of their own";
}

// Guards against a budget too small for a sudden failure: after a long time without failures, all requests running on
// some servers fail within a second.
TEST(FleetRetryBudget, SimultaneousFailuresMayUseTheShareOfRecentRequests)
{
    fleet_retry_budget budget({ 0.9, 184 });
    budget.setDaemonCount(72);
    constexpr int requestsPerSecond = 3;
    time_point now = start;
    for (int second = 0; second < 10; ++second) {
        now += std::chrono::seconds(1);
        for (int i = 0; i < requestsPerSecond; ++i)
            budget.onRequest(desk, now);
    }
    int retries = 0;
    while (budget.take(desk, now))
        ++retries;
    EXPECT_GE(retries, 12) << "nine tenths of nine tenths of the requests of five seconds";
    now += std::chrono::seconds(6);
    EXPECT_TRUE(budget.take(desk, now)) << "retries older than half a window no longer count";
}

} // namespace pollen
