#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <relay/repeat_allowance.h>

namespace pollen {

namespace {

const time_point start { std::chrono::seconds(1000) };
const service_name desk("desk");
const service_name engines("engines");

// Requests and repeats of one service in the last seconds.
class sliding_window {
public:
    explicit sliding_window(size_t seconds)
        : m_seconds(seconds)
    {
    }
    void addSecond(int requests, int repeats)
    {
        m_history.emplace_back(requests, repeats);
        if (m_history.size() > m_seconds)
            m_history.pop_front();
    }
    double requests() const
    {
        return sum([](const auto& second) { return second.first; });
    }
    double repeats() const
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

// Guards against BUDGET: the daemons' parts of the repeats added up to more than the fleet's bound.
// Pattern: after a quiet time every request to one service wants five repeats, while another service is busy and
// daemons are restarted one after the other.
TEST(RepeatAllowance, TheDaemonsPartsAddUpToTheFleetsBound)
{
    struct deployment {
        const char* what;
        size_t daemons;
        repeat_allowance::fleet_bound bound;
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
    constexpr int quietSeconds = 20;
    constexpr int seconds = 60;
    constexpr size_t windowSeconds = 10;
    constexpr int repeatsWanted = 5;
    std::mt19937 random(1);
    for (const deployment& given : cases) {
        std::vector<repeat_allowance> fleet(given.daemons, repeat_allowance(given.bound));
        for (repeat_allowance& daemon : fleet)
            daemon.setDaemons(given.daemons);
        std::uniform_int_distribution<size_t> any(0, given.daemons - 1);
        sliding_window window(windowSeconds);
        size_t nextRestart = 0;
        for (int second = 0; second < seconds; ++second) {
            const time_point now = start + std::chrono::seconds(second);
            int repeats = 0;
            for (int i = 0; i < given.engineRequestsPerSecond; ++i)
                fleet[any(random)].onRequest(engines, now);
            for (int i = 0; i < given.deskRequestsPerSecond; ++i) {
                repeat_allowance& daemon = fleet[any(random)];
                daemon.onRequest(desk, now);
                const int wanted = second < quietSeconds ? 0 : repeatsWanted;
                for (int repeat = 0; repeat < wanted && daemon.take(desk, now); ++repeat)
                    ++repeats;
            }
            for (size_t i = 0; i < given.restartsPerSecond; ++i) {
                repeat_allowance& restarted = fleet[nextRestart++ % given.daemons];
                restarted = repeat_allowance(given.bound);
                restarted.setDaemons(given.daemons);
            }
            window.addSecond(given.deskRequestsPerSecond, repeats);
            EXPECT_LE(window.repeats(), given.bound.share * window.requests() + given.bound.slack)
                << given.what << ", second " << second;
        }
        EXPECT_GE(window.repeats(), given.bound.share * window.requests() / 2) << given.what << ": it is of use";
    }
}

TEST(RepeatAllowance, ADaemonThatDoesNotKnowTheOthersYetMayRepeatOnce)
{
    repeat_allowance allowance({ 0.9, 58 });
    allowance.onRequest(desk, start);
    EXPECT_TRUE(allowance.take(desk, start));
    EXPECT_FALSE(allowance.take(desk, start)) << "one request allows one";
    EXPECT_TRUE(allowance.take(engines, start)) << "services have budgets of their own";
}

// Pattern: nothing fails for long, and then everything that is running on some servers does, within a second.
TEST(RepeatAllowance, WhatFailsAtOnceMayBeRepeatedByTheShareOfTheLastSeconds)
{
    repeat_allowance allowance({ 0.9, 184 });
    allowance.setDaemons(72);
    constexpr int requestsPerSecond = 3;
    time_point now = start;
    for (int second = 0; second < 10; ++second) {
        now += std::chrono::seconds(1);
        for (int i = 0; i < requestsPerSecond; ++i)
            allowance.onRequest(desk, now);
    }
    int repeats = 0;
    while (allowance.take(desk, now))
        ++repeats;
    EXPECT_GE(repeats, 12) << "nine tenths of nine tenths of the requests of five seconds";
    now += std::chrono::seconds(6);
    EXPECT_TRUE(allowance.take(desk, now)) << "what was taken is forgotten";
}

} // namespace pollen
