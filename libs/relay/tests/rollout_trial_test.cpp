#include <gtest/gtest.h>
#include <relay/rollout_trial.h>
#include <relay/trial_servers.h>

namespace pollen {

namespace {

const service_name service("advice");
const version_name target("v2");
const time_point start { std::chrono::seconds(1000) };
constexpr duration step = std::chrono::milliseconds(50);
constexpr exposure_limit limit { 0.15, 30 };

// A service with a constant request rate. Either all of its requests belong to sessions, each to one of its own, or
// none does. Counts are known without delay.
struct trial_simulation {
    double perSecond = 0;
    bool sessions = false;
    duration timeLimit { 0 };

    struct outcome {
        double onTarget = 0;
        double requests = 0;
        double largestShareDecrease = 0;
        double onTargetInFirstHalf = 0;
        double busiestSecond = 0;
    };

    // Simulates the trial and the move of all requests up to the time limit.
    outcome run() const
    {
        const rollout_trial trial(limit);
        rollout_row row;
        row.order = { service, target, timeLimit };
        row.startTime = start;
        outcome seen;
        double second = 0;
        for (duration at { 0 }; at < timeLimit; at += step) {
            const double share = row.share;
            if (!row.moveStarted && trial.mayMove(row, start + at))
                row.moveStarted = start + at;
            trial.advance(row, start + at);
            seen.largestShareDecrease = std::max(seen.largestShareDecrease, share - row.share);
            const double sent = perSecond * toSeconds(step);
            const double onTarget = sent * (sessions ? row.share : row.takesSessionlessRequests ? 1 : 0);
            seen.onTarget += onTarget;
            seen.requests += sent;
            if (at < timeLimit / 2)
                seen.onTargetInFirstHalf += onTarget;
            second = at % std::chrono::seconds(1) == duration(0) ? onTarget : second + onTarget;
            seen.busiestSecond = std::max(seen.busiestSecond, second);
            row.evidence = {};
            row.evidence.at("route").target.sent = static_cast<uint64_t>(seen.onTarget);
            row.evidence.at("route").others.sent = static_cast<uint64_t>(seen.requests - seen.onTarget);
        }
        return seen;
    }
};

// Servers of the new version with the given number of slots each.
struct trial_fleet {
    trial_fleet(size_t count, uint32_t slots)
    {
        std::vector<listed_server> list;
        for (size_t i = 0; i < count; ++i) {
            listed_server server;
            server.entry.id = instance_id("server-" + std::to_string(i));
            server.entry.service = service;
            server.entry.slots = slots;
            server.entry.versions = { { {}, target } };
            list.push_back(server);
        }
        table.replaceListed(list);
        row.order = { service, target, std::chrono::seconds(20) };
    }

    std::vector<server_handle> chosenServers() const { return trialServers(table, service, row, start); }

    server_table table;
    rollout_row row;
};

} // namespace

// Services with 1 to 500 requests per second: the trial never exceeds the exposure and, from 25 per second on, uses at
// least half of it.
TEST(RolloutTrial, StaysWithinTheExposureAtEveryRate)
{
    for (const double perSecond : { 1.0, 10.0, 25.0, 80.0, 500.0 }) {
        for (const bool sessions : { false, true }) {
            for (const int seconds : { 12, 16, 30 }) {
                const trial_simulation simulation { perSecond, sessions, std::chrono::seconds(seconds) };
                const trial_simulation::outcome seen = simulation.run();
                const double exposure = limit.share * perSecond * seconds + limit.slack;
                EXPECT_LE(seen.onTarget, exposure) << perSecond << " a second, " << seconds << " s";
                if (perSecond < 25)
                    continue;
                EXPECT_GE(seen.onTarget, exposure / 2) << perSecond << " a second, " << seconds << " s";
            }
        }
    }
}

// Guards session affinity: sessions stay on the old version in the first half, and none that has moved returns to it.
TEST(RolloutTrial, SessionsStayInTheFirstHalfAndNoneThatMovedReturns)
{
    const trial_simulation::outcome seen = trial_simulation { 80, true, std::chrono::seconds(24) }.run();
    EXPECT_EQ(seen.onTargetInFirstHalf, 0);
    EXPECT_EQ(seen.largestShareDecrease, 0);
}

// Guards the exposure limit: a trial that was spread thinly over the servers never loaded any of them, and a version
// that fails under load was completed. 25 requests per second without sessions.
TEST(RolloutTrial, AllRequestsWithoutASessionTryTheVersionInTrialWindows)
{
    const trial_simulation::outcome seen = trial_simulation { 25, false, std::chrono::seconds(24) }.run();
    EXPECT_GT(seen.onTargetInFirstHalf, 0) << "they may try the new version at any time";
    EXPECT_GE(seen.busiestSecond, 10);
}

TEST(RolloutTrial, ARejectedVersionGetsNoRequestsAndOneThatIsMovedToGetsAll)
{
    const rollout_trial trial(limit);
    rollout_row row;
    row.order = { service, target, std::chrono::seconds(20) };
    row.startTime = start;
    row.moveStarted = start + std::chrono::seconds(16);
    trial.advance(row, start + std::chrono::seconds(16));
    EXPECT_EQ(row.share, 1);
    EXPECT_TRUE(row.takesSessionlessRequests);
    row.rejected = true;
    trial.advance(row, start + std::chrono::seconds(17));
    EXPECT_EQ(row.share, 0);
    EXPECT_FALSE(row.takesSessionlessRequests);
}

TEST(TrialServers, AllDaemonsSelectTheSameServerAndEachWindowSelectsAnother)
{
    trial_fleet fleet(3, 6);
    fleet.row.takesSessionlessRequests = true;
    const std::vector<server_handle> first = fleet.chosenServers();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(fleet.chosenServers(), first);
    ++fleet.row.trialWindowIndex;
    ASSERT_EQ(fleet.chosenServers().size(), 1U);
    EXPECT_NE(fleet.chosenServers(), first);
}

TEST(TrialServers, ASaturatedServerIsSkippedForTheNext)
{
    trial_fleet fleet(3, 6);
    fleet.row.takesSessionlessRequests = true;
    const std::vector<server_handle> first = fleet.chosenServers();
    for (int i = 0; i < 5; ++i)
        fleet.table.addRequest(first.front());
    ASSERT_EQ(fleet.chosenServers().size(), 1U);
    EXPECT_NE(fleet.chosenServers(), first);
}

// 160 new engines: daemons see each other's requests with a delay, so the load of one engine is limited to a multiple
// of its share.
TEST(TrialServers, ALargeFleetLoadsSeveralServers)
{
    trial_fleet fleet(160, 64);
    fleet.row.share = 0.4;
    fleet.row.otherVersionRequests = 2000;
    EXPECT_GE(fleet.chosenServers().size(), 8U);
    EXPECT_LE(fleet.chosenServers().size(), 16U);
}

TEST(TrialServers, TooFewSessionsLoadNoEngine)
{
    trial_fleet fleet(9, 64);
    fleet.row.share = 0.4;
    fleet.row.otherVersionRequests = 20;
    EXPECT_TRUE(fleet.chosenServers().empty());
    fleet.row.otherVersionRequests = 200;
    EXPECT_EQ(fleet.chosenServers().size(), 1U);
}

} // namespace pollen
