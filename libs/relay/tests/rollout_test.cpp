#include "fake_fleet_store.h"

#include <gtest/gtest.h>
#include <random>
#include <relay/first_byte_timer.h>
#include <relay/rollout_system.h>

namespace pollen {

namespace {

const service_name service("advice");
const version_name target("v2");
const version_name old("v1");
const std::string route = "quotes";
const time_point start { std::chrono::seconds(1000) };
constexpr duration timeLimit = std::chrono::seconds(20);

// One daemon's part in a roll-out.
struct test_daemon {
    explicit test_daemon(const char* id)
        : system(table, store, instance_id(id), 1, { 0.15, 30 }, log)
    {
    }

    null_logger log;
    fake_fleet_store store;
    rollout_table table;
    rollout_system system;

    void addAnswers(const version_name& version, int good, int bad)
    {
        for (int i = 0; i < good + bad; ++i) {
            system.countSent({ service, version, route });
            system.countAnswer({ service, version, route }, i < good);
            system.countFirstByte({ service, version, route }, latency_grade::Normal);
        }
    }
    // Ticks from `from` to `until` in steps of the daemon's own tick.
    void tickUntil(duration from, duration until)
    {
        for (duration at = from; at <= until; at += std::chrono::milliseconds(50))
            system.tick(start + at);
    }
    const rollout_row& row() { return *table.find(service); }
};

rollout_report reportOf(const char* id, duration age, const version_answers& answers)
{
    return { instance_id(id), 1, service, target, age, rollout_evidence({ { route, answers, {} } }) };
}

rollout_group_report groupOf(const rollout_report& report) { return { report.daemon, service, target, { report } }; }

// Completed answers, none of them slow.
version_answers answered(uint64_t good, uint64_t bad) { return { good + bad, good, bad, good + bad, 0, 0, 0, 0, 0 }; }

// Completed streams, some of them slow after their first byte.
version_answers paced(uint64_t streams, uint64_t slow, uint64_t verySlow = 0)
{
    return { streams, streams, 0, streams, 0, 0, streams, slow, verySlow };
}

} // namespace

TEST(RolloutVerdict, ComparesAVersionWithTheOthersOverTheSameTime)
{
    const version_answers fine = answered(100, 0);
    struct evidence {
        const char* what;
        std::vector<route_answers> routes;
        rollout_verdict verdict;
    };
    const std::vector<evidence> cases {
        { "no answers", {}, rollout_verdict::Undecided },
        { "two failures", { { "a", answered(0, 2), fine } }, rollout_verdict::Undecided },
        { "half fail", { { "a", answered(6, 6), fine } }, rollout_verdict::Bad },
        { "all fail", { { "a", answered(0, 5), fine } }, rollout_verdict::Bad },
        { "a third fails", { { "a", answered(20, 10), fine } }, rollout_verdict::Bad },
        { "all succeed", { { "a", answered(40, 0), fine } }, rollout_verdict::Good },
        { "as bad as the others", { { "a", answered(34, 6), answered(85, 15) } }, rollout_verdict::Good },
        { "most are slow", { { "a", { 10, 10, 0, 10, 8, 6 }, { 100, 100, 0, 100, 2, 0 } } }, rollout_verdict::Bad },
        { "as slow as the others", { { "a", { 60, 60, 0, 60, 6, 1 }, { 100, 100, 0, 100, 10, 2 } } },
            rollout_verdict::Good },
        { "slow ones that are not completed", { { "a", { 9, 0, 0, 9, 8, 7 }, { 100, 100, 0, 100, 2, 0 } } },
            rollout_verdict::Bad },
        { "fast first bytes, none completed", { { "a", { 40, 0, 0, 40, 0, 0 }, fine } }, rollout_verdict::Undecided },
        { "few, all succeed", { { "a", answered(5, 0), fine } }, rollout_verdict::Undecided },
        { "one route of two fails in a third", { { "a", answered(40, 0), fine }, { "b", answered(14, 7), fine } },
            rollout_verdict::Bad },
        { "a route that fails in the other versions too",
            { { "a", answered(60, 0), fine }, { "b", answered(0, 9), answered(0, 20) } }, rollout_verdict::Good },
        { "more of the trial on the route that fails more often",
            { { "a", answered(30, 0), answered(300, 0) }, { "b", answered(26, 4), answered(85, 15) } },
            rollout_verdict::Good },
        { "fails only where a trial loads its servers",
            { { "a", answered(60, 0), fine }, { rollout_evidence::underLoad, answered(14, 7), {} } },
            rollout_verdict::Bad },
        { "streams run slowly", { { "a", paced(30, 29), paced(100, 20) } }, rollout_verdict::Bad },
        { "streams as slow as the others", { { "a", paced(30, 8), paced(100, 20) } }, rollout_verdict::Good },
        { "streams somewhat slower than the others", { { "a", paced(30, 13), paced(100, 6) } },
            rollout_verdict::Undecided },
        { "slow first bytes of streams with the usual pace",
            { { "a", { 40, 30, 0, 40, 22, 20, 30, 3, 2 }, { 100, 100, 0, 100, 20, 14, 100, 30, 20 } } },
            rollout_verdict::Good },
        { "slow first bytes of streams that do not continue",
            { { "a", { 40, 0, 0, 40, 36, 36, 0, 0, 0 }, { 100, 100, 0, 100, 20, 14, 100, 30, 20 } } },
            rollout_verdict::Bad },
        { "very slow first bytes, however quick the rest",
            { { "a", { 60, 60, 0, 60, 56, 56, 60, 0, 0 }, { 100, 100, 0, 100, 10, 5, 100, 10, 5 } } },
            rollout_verdict::Bad },
        { "streams slow under a load that slows the others, too", { { "a", paced(30, 22), paced(100, 60) } },
            rollout_verdict::Good },
        { "streams very slow under a load that slows the others, too",
            { { "a", paced(14, 14, 14), paced(100, 55, 10) } }, rollout_verdict::Bad },
        { "too few slow streams", { { "a", paced(6, 6), paced(100, 20) } }, rollout_verdict::Undecided },
        { "no answers on one route yet", { { "a", answered(60, 0), fine }, { "b", {}, fine } },
            rollout_verdict::Undecided },
    };
    for (const evidence& seen : cases)
        EXPECT_EQ(judgeRollout(rollout_evidence(seen.routes)), seen.verdict) << seen.what;
}

TEST(RolloutVerdict, AVersionWithoutAnswersIsProbablyBadOnlyIfOthersAnswered)
{
    EXPECT_FALSE(isProbablyBad(rollout_evidence()));
    EXPECT_FALSE(isProbablyBad(rollout_evidence({ { route, {}, answered(3, 0) } }))) << "too few requests to try it";
    EXPECT_TRUE(isProbablyBad(rollout_evidence({ { route, {}, answered(20, 0) } })));
}

TEST(RolloutEvidence, RoutesBeyondTheLimitShareARow)
{
    rollout_evidence evidence;
    for (int i = 0; i < 500; ++i)
        ++evidence.at("route-" + std::to_string(i)).target.sent;
    EXPECT_LE(evidence.routes().size(), 17U);
    EXPECT_EQ(evidence.total().target.sent, 500U);
}

TEST(RolloutSystem, AGoodVersionGetsNoSessionsThenSomeThenAllAndCompletesInTime)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::seconds(9));
    EXPECT_EQ(daemon.row().share, 0) << "sessions stay on the old version in the first half";
    EXPECT_TRUE(daemon.store.following);
    daemon.tickUntil(std::chrono::seconds(9), std::chrono::seconds(11));
    EXPECT_GT(daemon.row().share, 0);
    EXPECT_LT(daemon.row().share, 0.5);
    daemon.addAnswers(old, 30, 0);
    daemon.addAnswers(target, 15, 0);
    daemon.tickUntil(std::chrono::seconds(11), std::chrono::seconds(19));
    EXPECT_EQ(daemon.row().state, rollout_state::Complete);
    ASSERT_EQ(daemon.store.published.size(), 1U);
    EXPECT_EQ(daemon.store.published[0], (rollout_status { service, target, rollout_state::Complete }));
    EXPECT_FALSE(daemon.store.following);
}

TEST(RolloutSystem, DoesNotCompleteWhileOldServersHaveRequests)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.system.addOtherVersionRequest(service);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::milliseconds(19000));
    EXPECT_TRUE(daemon.store.published.empty());
    daemon.system.removeOtherVersionRequest(service);
    daemon.tickUntil(std::chrono::milliseconds(19000), std::chrono::milliseconds(19100));
    EXPECT_EQ(daemon.store.published.size(), 1U);
}

TEST(RolloutSystem, ABadVersionIsRejectedOnTheEvidenceOfAllDaemonsTogether)
{
    test_daemon daemon("b");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(old, 100, 0);
    daemon.addAnswers(target, 1, 2);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::seconds(2));
    EXPECT_FALSE(daemon.row().rejected);
    daemon.system.receiveGroupReport(
        groupOf(reportOf("c", std::chrono::seconds(2), answered(1, 3))), start + std::chrono::seconds(2));
    daemon.system.receiveGroupReport(
        groupOf(reportOf("d", std::chrono::seconds(2), answered(0, 2))), start + std::chrono::seconds(2));
    daemon.tickUntil(std::chrono::seconds(2), std::chrono::milliseconds(2100));
    EXPECT_TRUE(daemon.row().rejected);
    EXPECT_EQ(daemon.row().share, 0);
    ASSERT_EQ(daemon.store.published.size(), 1U);
    EXPECT_EQ(daemon.store.published[0].state, rollout_state::RolledBack);
}

TEST(RolloutSystem, OnlyTheCoordinatorPublishesAndTheNextLeaderTakesOverWhenItStopsReporting)
{
    test_daemon daemon("b");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(target, 0, 9);
    daemon.system.receiveGroupReport(
        groupOf(reportOf("a", std::chrono::seconds(1), {})), start + std::chrono::seconds(1));
    daemon.tickUntil(std::chrono::seconds(1), std::chrono::seconds(4));
    EXPECT_TRUE(daemon.row().rejected);
    EXPECT_TRUE(daemon.store.published.empty());
    daemon.tickUntil(std::chrono::seconds(4), std::chrono::seconds(5));
    EXPECT_FALSE(daemon.store.published.empty());
}

TEST(RolloutSystem, AStateThatWasNotStoredIsPublishedAgain)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(target, 0, 9);
    daemon.store.stores = false;
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::seconds(3));
    EXPECT_GE(daemon.store.published.size(), 3U);
    EXPECT_EQ(daemon.row().state, rollout_state::Running);
    daemon.store.answers = false;
    daemon.tickUntil(std::chrono::seconds(3), std::chrono::seconds(4));
    const size_t published = daemon.store.published.size();
    daemon.tickUntil(std::chrono::seconds(4), std::chrono::seconds(6));
    EXPECT_EQ(daemon.store.published.size(), published) << "one write at a time";
    daemon.store.waiting(true);
    EXPECT_EQ(daemon.row().state, rollout_state::RolledBack);
}

TEST(RolloutSystem, ADaemonThatStartsLaterLearnsHowLongTheRolloutHasBeenGoingOn)
{
    test_daemon daemon("z");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.system.receiveGroupReport(
        groupOf(reportOf("a", std::chrono::seconds(12), answered(30, 0))), start + std::chrono::seconds(1));
    daemon.tickUntil(std::chrono::seconds(1), std::chrono::milliseconds(1100));
    EXPECT_GT(daemon.row().share, 0);
}

TEST(RolloutSystem, ALeaderAggregatesTheCountsOfItsMembers)
{
    test_daemon leader("a");
    test_daemon member("b");
    for (test_daemon* daemon : { &leader, &member })
        daemon->table.applyOrder({ service, target, timeLimit }, start);
    member.system.setLeader(false);
    leader.store.answers = false;
    member.addAnswers(target, 1, 5);
    leader.addAnswers(target, 0, 4);
    const time_point now = start + std::chrono::seconds(1);
    member.system.tick(now);
    EXPECT_TRUE(member.store.reports.empty()) << "only a leader writes to the store";
    ASSERT_EQ(member.system.memberReports(now).size(), 1U);
    leader.system.receiveMemberReport(member.system.memberReports(now)[0], instance_id("b"), now);
    leader.system.tick(now);
    ASSERT_EQ(leader.store.reports.size(), 1U);
    version_answers published;
    for (const rollout_report& report : leader.store.reports[0].reports)
        published += report.evidence.total().target;
    EXPECT_EQ(published, answered(1, 9));
    EXPECT_TRUE(leader.row().rejected);
    member.system.receiveTotalReport(leader.system.totalReports(now)[0], now);
    member.system.tick(now);
    EXPECT_TRUE(member.row().rejected);
    EXPECT_TRUE(member.store.published.empty());
}

TEST(RolloutSystem, AStateReceivedBeforeItsOrderIsKept)
{
    test_daemon daemon("a");
    daemon.table.applyStatus({ service, target, rollout_state::RolledBack });
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    EXPECT_EQ(daemon.row().state, rollout_state::RolledBack);
    daemon.table.applyOrder({ service, version_name("v3"), timeLimit }, start);
    EXPECT_EQ(daemon.row().state, rollout_state::Running) << "an order with another target starts a new roll-out";
}

// Guards the exposure limit: a version that answered several times slower was completed, because none of its slow
// answers had ended by the end of the trial.
TEST(RolloutSystem, AVersionWhoseFirstBytesAreOverdueIsRolledBackDuringItsTrial)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(old, 100, 0);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::seconds(11));
    for (int i = 0; i < 8; ++i)
        daemon.system.countFirstByte(
            { service, target, route }, i % 2 == 0 ? latency_grade::VerySlow : latency_grade::Normal);
    daemon.tickUntil(std::chrono::seconds(11), std::chrono::milliseconds(11100));
    for (int i = 0; i < 8; ++i)
        daemon.system.countFirstByte(
            { service, target, route }, i % 2 == 0 ? latency_grade::VerySlow : latency_grade::Normal);
    daemon.tickUntil(std::chrono::milliseconds(11100), std::chrono::seconds(12));
    EXPECT_TRUE(daemon.row().rejected);
    ASSERT_EQ(daemon.store.published.size(), 1U);
    EXPECT_EQ(daemon.store.published[0].state, rollout_state::RolledBack);
}

// Guards the exposure limit: daemons evaluated the evidence at different times; some rolled the version back while
// others moved all sessions to it.
TEST(RolloutSystem, ARejectionByOneDaemonHoldsForAll)
{
    test_daemon daemon("b");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(old, 100, 0);
    daemon.addAnswers(target, 40, 0);
    daemon.store.answers = false;
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::seconds(12));
    rollout_report found = reportOf("c", std::chrono::seconds(12), answered(3, 1));
    found.rejected = true;
    daemon.system.receiveGroupReport(groupOf(found), start + std::chrono::seconds(12));
    daemon.tickUntil(std::chrono::seconds(12), std::chrono::seconds(13));
    EXPECT_TRUE(daemon.row().rejected);
    ASSERT_FALSE(daemon.store.reports.empty());
    EXPECT_TRUE(daemon.store.reports.back().reports.front().rejected) << "it reports the rejection too";
}

// Guards the exposure limit: daemons evaluated the evidence at different times and each moved all sessions by itself,
// some of them just before others rejected the version.
TEST(RolloutSystem, NoDaemonMovesBeforeTheCoordinatorHasAccepted)
{
    test_daemon daemon("b");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(old, 100, 0);
    daemon.addAnswers(target, 20, 0);
    rollout_report first = reportOf("a", std::chrono::seconds(0), {});
    for (int second = 0; second < 18; ++second) {
        first.age = std::chrono::seconds(second);
        daemon.system.receiveGroupReport(groupOf(first), start + first.age);
        daemon.tickUntil(first.age, first.age + std::chrono::seconds(1));
    }
    EXPECT_FALSE(daemon.row().moveStarted) << "the coordinator has not accepted the version";
    first.age = std::chrono::seconds(18);
    first.accepted = true;
    daemon.system.receiveGroupReport(groupOf(first), start + first.age);
    daemon.tickUntil(first.age, first.age + std::chrono::milliseconds(50));
    EXPECT_TRUE(daemon.row().moveStarted);
}

// Guards the exposure limit: an accepted version got all requests at once, although the exposure was nearly used up.
TEST(RolloutSystem, AnAcceptedVersionWaitsUntilTheExposureCoversTheMove)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(old, 200, 0);
    daemon.addAnswers(target, 45, 0);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::milliseconds(18500));
    EXPECT_TRUE(daemon.row().accepted);
    EXPECT_FALSE(daemon.row().moveStarted) << "15 requests of the exposure are left, at 13 a second";
    daemon.tickUntil(std::chrono::milliseconds(18500), std::chrono::milliseconds(19300));
    EXPECT_TRUE(daemon.row().moveStarted);
}

// A service with little traffic: the trial ends with only a few answers.
TEST(RolloutSystem, DecidesOnWeakEvidenceWhenTheTrialEnds)
{
    struct trial {
        const char* what;
        int good;
        int bad;
        rollout_state state;
    };
    const std::vector<trial> cases {
        { "no answers", 0, 0, rollout_state::RolledBack },
        { "three succeed", 3, 0, rollout_state::Complete },
        { "two of five bad", 3, 2, rollout_state::RolledBack },
        { "one of one bad", 0, 1, rollout_state::RolledBack },
    };
    for (const trial& given : cases) {
        test_daemon daemon("a");
        daemon.table.applyOrder({ service, target, timeLimit }, start);
        daemon.addAnswers(old, 100, 0);
        daemon.tickUntil(std::chrono::seconds(0), std::chrono::seconds(11));
        daemon.addAnswers(target, given.good, given.bad);
        daemon.tickUntil(std::chrono::seconds(11), std::chrono::seconds(14));
        EXPECT_LT(daemon.row().share, 1) << given.what << ": sessions stay until the decision";
        daemon.tickUntil(std::chrono::seconds(14), std::chrono::seconds(19));
        EXPECT_EQ(daemon.row().state, given.state) << given.what;
    }
}

// Guards the exposure limit: with much traffic, the fast answers of the first second sufficed to accept a slow version,
// and all sessions moved to it. 280 requests per second; half of the new version's first bytes arrive after four
// seconds.
TEST(RolloutSystem, EarlyFastAnswersAloneDoNotAcceptAVersion)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(old, 2000, 0);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::seconds(10));
    daemon.addAnswers(target, 60, 0);
    daemon.tickUntil(std::chrono::seconds(10), std::chrono::seconds(12));
    EXPECT_LT(daemon.row().share, 1);
    for (int i = 0; i < 60; ++i)
        daemon.system.countFirstByte({ service, target, route }, latency_grade::VerySlow);
    daemon.tickUntil(std::chrono::seconds(12), std::chrono::seconds(14));
    EXPECT_TRUE(daemon.row().rejected);
}

// Guards the exposure limit: a first byte that had been overdue did not update the baseline when it arrived. The
// threshold sank, and a fifth of the old version's first bytes counted as slow, like those of a slow version.
TEST(FirstByteTimer, OverdueFirstBytesUpdateTheBaselineWhenTheyArrive)
{
    test_daemon daemon("a");
    latency_baseline usual;
    first_byte_timer timer(usual, daemon.table, daemon.system);
    std::mt19937 random(1);
    std::lognormal_distribution<double> milliseconds(6, 0.6);
    time_point now = start;
    const auto serve = [&](const version_name& version, double factor) {
        timer.start({ { service, version, route }, 0, 1000 }, now);
        const auto took = std::chrono::milliseconds(static_cast<int64_t>(milliseconds(random) * factor));
        for (duration waited { 0 }; waited < took; waited += std::chrono::milliseconds(50))
            timer.tick(now + waited);
        now += took;
        timer.stop(now);
    };
    for (int i = 0; i < 300; ++i)
        serve(old, 1);
    daemon.table.applyOrder({ service, target, timeLimit }, now);
    for (int i = 0; i < 500; ++i) {
        serve(old, 1);
        serve(target, i % 2 == 0 ? 8 : 1);
    }
    daemon.system.tick(now + std::chrono::seconds(10));
    EXPECT_EQ(daemon.row().evidence.total().others.timed, 500U);
    EXPECT_EQ(daemon.row().evidence.total().target.timed, 500U);
    EXPECT_LT(daemon.row().evidence.total().others.slow, 150U) << "about one in five";
    EXPECT_GT(daemon.row().evidence.total().target.slow, 200U);
}

// Guards the exposure limit: fast first bytes were counted on arrival and slow ones seconds later, so that a version
// with half of its answers slow looked good in a short trial. 60 requests to a version within two seconds, evaluated
// three seconds after the first.
TEST(FirstByteTimer, FastFirstBytesAreCountedAtTheSameAgeAsSlowOnes)
{
    test_daemon daemon("a");
    daemon.store.answers = false;
    latency_baseline usual;
    for (int i = 0; i < 200; ++i)
        usual.count({ service.text(), 0 }, std::chrono::milliseconds(400 + i), 0);
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    std::vector<first_byte_timer> timers;
    timers.reserve(60);
    for (int i = 0; i < 60; ++i)
        timers.emplace_back(usual, daemon.table, daemon.system);
    constexpr duration tick = std::chrono::milliseconds(50);
    for (duration at { 0 }; at <= std::chrono::seconds(3); at += tick) {
        for (int i = 0; i < 60; ++i) {
            const duration sent = i * std::chrono::milliseconds(33);
            const duration begins = sent + std::chrono::milliseconds(i % 2 == 0 ? 400 : 4000);
            if (at >= sent && at - tick < sent)
                timers[i].start({ { service, target, route }, 0, 0 }, start + sent);
            if (at >= begins && at - tick < begins)
                timers[i].stop(start + begins);
            timers[i].tick(start + at);
        }
        daemon.system.tick(start + at);
    }
    const version_answers seen = daemon.row().evidence.total().target;
    EXPECT_GE(seen.timed, 20U);
    EXPECT_NEAR(static_cast<double>(seen.verySlow) / static_cast<double>(seen.timed), 0.5, 0.1);
}

TEST(FirstByteTimer, IgnoresAVersionOnTrialAndLearnsOnceItsRolloutIsOver)
{
    test_daemon daemon("a");
    latency_baseline usual;
    first_byte_timer timer(usual, daemon.table, daemon.system);
    const auto serve = [&](int milliseconds) {
        timer.start({ { service, target, route }, 0, 0 }, start);
        timer.stop(start + std::chrono::milliseconds(milliseconds));
    };
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    serve(1000);
    EXPECT_EQ(usual.grade({ service.text(), 0 }, std::chrono::seconds(1), 0), latency_grade::Normal)
        << "a version on trial does not count for the baseline";
    daemon.table.applyStatus({ service, target, rollout_state::Complete });
    serve(100);
    EXPECT_NE(usual.grade({ service.text(), 0 }, std::chrono::seconds(1), 0), latency_grade::Normal);
}

// Guards against EXPOSURE: a slow version was accepted on the answers that had ended by then, and completed although
// those that ended before the move showed what it was.
TEST(RolloutSystem, AnAcceptedVersionIsRejectedOnAnswersThatEndBeforeTheMove)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.addAnswers(old, 200, 0);
    daemon.addAnswers(target, 45, 0);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::milliseconds(18500));
    ASSERT_TRUE(daemon.row().accepted);
    ASSERT_FALSE(daemon.row().moveStarted);
    for (int i = 0; i < 7; ++i)
        daemon.system.countFirstByte({ service, target, route }, latency_grade::VerySlow);
    daemon.tickUntil(std::chrono::milliseconds(18500), std::chrono::milliseconds(19300));
    EXPECT_TRUE(daemon.row().rejected);
    EXPECT_FALSE(daemon.row().moveStarted);
}

// Guards against EXPOSURE: no daemon decides while the store is away. The one that had it back first accepted a version
// whose time limit had passed, on evidence that showed neither.
TEST(RolloutSystem, AVersionThatWasNotDecidedOnInTimeIsRolledBack)
{
    test_daemon daemon("a");
    daemon.table.applyOrder({ service, target, timeLimit }, start);
    daemon.system.setLeader(false);
    daemon.addAnswers(old, 200, 0);
    daemon.addAnswers(target, 45, 0);
    daemon.tickUntil(std::chrono::seconds(0), std::chrono::milliseconds(20100));
    EXPECT_FALSE(daemon.row().accepted);
    daemon.system.setLeader(true);
    daemon.tickUntil(std::chrono::milliseconds(20100), std::chrono::milliseconds(20500));
    EXPECT_TRUE(daemon.row().rejected);
    EXPECT_EQ(daemon.row().state, rollout_state::RolledBack);
}

} // namespace pollen
