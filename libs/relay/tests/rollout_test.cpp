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
constexpr duration allowed = std::chrono::seconds(20);

// One daemon and its view of a roll-out.
struct daemon_view {
    explicit daemon_view(const char* id)
        : system(table, store, instance_id(id), 1, { 0.15, 30 }, log)
    {
    }

    null_logger log;
    fake_fleet_store store;
    rollout_table table;
    rollout_system system;

    void answers(const version_name& version, int good, int bad)
    {
        for (int i = 0; i < good + bad; ++i) {
            system.countSent({ service, version, route });
            system.countAnswer({ service, version, route }, i < good);
            system.countFirstByte({ service, version, route }, latency_grade::Usual);
        }
    }
    // Ticks through a span in steps of the daemon's own.
    void run(duration from, duration until)
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

// Answers that have all begun, none of them slow.
version_answers answered(uint64_t good, uint64_t bad) { return { good + bad, good, bad, good + bad, 0, 0 }; }

} // namespace

TEST(RolloutVerdict, WeighsAVersionAgainstTheOthersOfTheSameTime)
{
    const version_answers fine = answered(100, 0);
    struct evidence {
        const char* what;
        std::vector<route_answers> routes;
        rollout_verdict verdict;
    };
    const std::vector<evidence> cases {
        { "nothing seen", {}, rollout_verdict::Open },
        { "two failures", { { "a", answered(0, 2), fine } }, rollout_verdict::Open },
        { "half fail", { { "a", answered(6, 6), fine } }, rollout_verdict::Bad },
        { "all fail", { { "a", answered(0, 5), fine } }, rollout_verdict::Bad },
        { "a third fails", { { "a", answered(20, 10), fine } }, rollout_verdict::Bad },
        { "all well", { { "a", answered(40, 0), fine } }, rollout_verdict::Good },
        { "as bad as the others", { { "a", answered(34, 6), answered(85, 15) } }, rollout_verdict::Good },
        { "most are slow", { { "a", { 10, 10, 0, 10, 8, 6 }, { 100, 100, 0, 100, 2, 0 } } }, rollout_verdict::Bad },
        { "as slow as the others", { { "a", { 60, 60, 0, 60, 6, 1 }, { 100, 100, 0, 100, 10, 2 } } },
            rollout_verdict::Good },
        { "slow ones that have not ended", { { "a", { 9, 0, 0, 9, 8, 7 }, { 100, 100, 0, 100, 2, 0 } } },
            rollout_verdict::Bad },
        { "well begun, none ended", { { "a", { 40, 0, 0, 40, 0, 0 }, fine } }, rollout_verdict::Open },
        { "few, all well", { { "a", answered(5, 0), fine } }, rollout_verdict::Open },
        { "one route of two fails in a third", { { "a", answered(40, 0), fine }, { "b", answered(14, 7), fine } },
            rollout_verdict::Bad },
        { "a route that fails anyway", { { "a", answered(60, 0), fine }, { "b", answered(0, 9), answered(0, 20) } },
            rollout_verdict::Good },
        { "more of the trial on the route that fails more often",
            { { "a", answered(30, 0), answered(300, 0) }, { "b", answered(26, 4), answered(85, 15) } },
            rollout_verdict::Good },
        { "fails only where a trial loads its servers",
            { { "a", answered(60, 0), fine }, { rollout_evidence::underLoad, answered(14, 7), {} } },
            rollout_verdict::Bad },
        { "nothing seen of one route yet", { { "a", answered(60, 0), fine }, { "b", {}, fine } },
            rollout_verdict::Open },
    };
    for (const evidence& seen : cases)
        EXPECT_EQ(judgeRollout(rollout_evidence(seen.routes)), seen.verdict) << seen.what;
}

TEST(RolloutVerdict, NoAnswersAtAllSpeakAgainstAVersionOnlyWhileOthersAnswer)
{
    EXPECT_FALSE(seemsBad(rollout_evidence()));
    EXPECT_FALSE(seemsBad(rollout_evidence({ { route, {}, answered(3, 0) } }))) << "there was nothing to try it with";
    EXPECT_TRUE(seemsBad(rollout_evidence({ { route, {}, answered(20, 0) } })));
}

TEST(RolloutEvidence, ManyRoutesShareARow)
{
    rollout_evidence evidence;
    for (int i = 0; i < 500; ++i)
        ++evidence.at("route-" + std::to_string(i)).target.sent;
    EXPECT_LE(evidence.routes().size(), 17U);
    EXPECT_EQ(evidence.total().target.sent, 500U);
}

TEST(RolloutSystem, AGoodVersionGetsNothingThenAFewSessionsThenAllAndIsCompletedInTime)
{
    daemon_view daemon("a");
    daemon.table.order({ service, target, allowed }, start);
    daemon.run(std::chrono::seconds(0), std::chrono::seconds(9));
    EXPECT_EQ(daemon.row().share, 0) << "sessions of the old version stay in the first half";
    EXPECT_TRUE(daemon.store.following);
    daemon.run(std::chrono::seconds(9), std::chrono::seconds(11));
    EXPECT_GT(daemon.row().share, 0);
    EXPECT_LT(daemon.row().share, 0.5);
    daemon.answers(old, 30, 0);
    daemon.answers(target, 30, 0);
    daemon.run(std::chrono::seconds(11), std::chrono::seconds(19));
    EXPECT_EQ(daemon.row().state, rollout_state::Complete);
    ASSERT_EQ(daemon.store.published.size(), 1U);
    EXPECT_EQ(daemon.store.published[0], (rollout_status { service, target, rollout_state::Complete }));
    EXPECT_FALSE(daemon.store.following);
}

TEST(RolloutSystem, OldServersAreNotStoppedWhileTheyAnswer)
{
    daemon_view daemon("a");
    daemon.table.order({ service, target, allowed }, start);
    daemon.system.addOther(service);
    daemon.run(std::chrono::seconds(0), std::chrono::seconds(18));
    EXPECT_TRUE(daemon.store.published.empty());
    daemon.system.removeOther(service);
    daemon.run(std::chrono::seconds(18), std::chrono::milliseconds(18300));
    EXPECT_EQ(daemon.store.published.size(), 1U);
}

TEST(RolloutSystem, ABadVersionIsCondemnedOnTheEvidenceOfAllDaemonsTogether)
{
    daemon_view daemon("b");
    daemon.table.order({ service, target, allowed }, start);
    daemon.answers(old, 100, 0);
    daemon.answers(target, 1, 2);
    daemon.run(std::chrono::seconds(0), std::chrono::seconds(2));
    EXPECT_FALSE(daemon.row().condemned);
    daemon.system.hear(reportOf("c", std::chrono::seconds(2), answered(1, 3)), start + std::chrono::seconds(2));
    daemon.system.hear(reportOf("d", std::chrono::seconds(2), answered(0, 2)), start + std::chrono::seconds(2));
    daemon.run(std::chrono::seconds(2), std::chrono::milliseconds(2100));
    EXPECT_TRUE(daemon.row().condemned);
    EXPECT_EQ(daemon.row().share, 0);
    ASSERT_EQ(daemon.store.published.size(), 1U);
    EXPECT_EQ(daemon.store.published[0].state, rollout_state::RolledBack);
}

TEST(RolloutSystem, OnlyTheFirstDaemonPublishesAndTheNextTakesOverWhenItFallsSilent)
{
    daemon_view daemon("b");
    daemon.table.order({ service, target, allowed }, start);
    daemon.answers(target, 0, 9);
    daemon.system.hear(reportOf("a", std::chrono::seconds(1), {}), start + std::chrono::seconds(1));
    daemon.run(std::chrono::seconds(1), std::chrono::seconds(4));
    EXPECT_TRUE(daemon.row().condemned);
    EXPECT_TRUE(daemon.store.published.empty());
    daemon.run(std::chrono::seconds(4), std::chrono::seconds(5));
    EXPECT_FALSE(daemon.store.published.empty());
}

TEST(RolloutSystem, AStateThatWasNotStoredIsPublishedAgain)
{
    daemon_view daemon("a");
    daemon.table.order({ service, target, allowed }, start);
    daemon.answers(target, 0, 9);
    daemon.store.stores = false;
    daemon.run(std::chrono::seconds(0), std::chrono::seconds(3));
    EXPECT_GE(daemon.store.published.size(), 3U);
    EXPECT_EQ(daemon.row().state, rollout_state::Running);
    daemon.store.answers = false;
    daemon.run(std::chrono::seconds(3), std::chrono::seconds(4));
    const size_t published = daemon.store.published.size();
    daemon.run(std::chrono::seconds(4), std::chrono::seconds(6));
    EXPECT_EQ(daemon.store.published.size(), published) << "one write at a time";
    daemon.store.waiting(true);
    EXPECT_EQ(daemon.row().state, rollout_state::RolledBack);
}

TEST(RolloutSystem, ADaemonThatStartsLaterLearnsHowLongTheRolloutHasBeenGoingOn)
{
    daemon_view daemon("z");
    daemon.table.order({ service, target, allowed }, start);
    daemon.system.hear(reportOf("a", std::chrono::seconds(12), answered(30, 0)), start + std::chrono::seconds(1));
    daemon.run(std::chrono::seconds(1), std::chrono::milliseconds(1100));
    EXPECT_GT(daemon.row().share, 0);
}

TEST(RolloutSystem, ADaemonSpeaksForThoseThatLearnFromIt)
{
    daemon_view reader("a");
    daemon_view member("b");
    for (daemon_view* daemon : { &reader, &member })
        daemon->table.order({ service, target, allowed }, start);
    member.system.setReading(false);
    reader.store.answers = false;
    member.answers(target, 1, 5);
    reader.answers(target, 0, 4);
    const time_point now = start + std::chrono::seconds(1);
    member.system.tick(now);
    EXPECT_TRUE(member.store.reports.empty()) << "only a daemon that reads the store writes to it";
    ASSERT_EQ(member.system.ownReports(now).size(), 1U);
    reader.system.hearMember(member.system.ownReports(now)[0], now);
    reader.system.tick(now);
    ASSERT_EQ(reader.store.reports.size(), 1U);
    EXPECT_EQ(reader.store.reports[0].evidence.total().target, answered(1, 9));
    EXPECT_TRUE(reader.row().condemned);
    member.system.hearTotal(reader.system.totals(now)[0], now);
    member.system.tick(now);
    EXPECT_TRUE(member.row().condemned);
    EXPECT_TRUE(member.store.published.empty());
}

TEST(RolloutSystem, AStateReadBeforeItsOrderHolds)
{
    daemon_view daemon("a");
    daemon.table.status({ service, target, rollout_state::RolledBack });
    daemon.table.order({ service, target, allowed }, start);
    EXPECT_EQ(daemon.row().state, rollout_state::RolledBack);
    daemon.table.order({ service, version_name("v3"), allowed }, start);
    EXPECT_EQ(daemon.row().state, rollout_state::Running) << "another target is another roll-out";
}

// Guards against EXPOSURE: a version that answered several times slower was completed, since none of its slow answers
// had ended when the trial was over.
TEST(RolloutSystem, AVersionWhoseFirstBytesAreOverdueIsRolledBackDuringItsTrial)
{
    daemon_view daemon("a");
    daemon.table.order({ service, target, allowed }, start);
    daemon.answers(old, 100, 0);
    daemon.run(std::chrono::seconds(0), std::chrono::seconds(11));
    for (int i = 0; i < 8; ++i)
        daemon.system.countFirstByte(
            { service, target, route }, i % 2 == 0 ? latency_grade::VerySlow : latency_grade::Usual);
    daemon.run(std::chrono::seconds(11), std::chrono::milliseconds(11100));
    for (int i = 0; i < 8; ++i)
        daemon.system.countFirstByte(
            { service, target, route }, i % 2 == 0 ? latency_grade::VerySlow : latency_grade::Usual);
    daemon.run(std::chrono::milliseconds(11100), std::chrono::seconds(12));
    EXPECT_TRUE(daemon.row().condemned);
    ASSERT_EQ(daemon.store.published.size(), 1U);
    EXPECT_EQ(daemon.store.published[0].state, rollout_state::RolledBack);
}

// Guards against EXPOSURE: daemons looked at the evidence at different moments; some rolled the version back while
// others moved all sessions to it.
TEST(RolloutSystem, WhatOneDaemonHasFoundBadIsBadForAll)
{
    daemon_view daemon("b");
    daemon.table.order({ service, target, allowed }, start);
    daemon.answers(old, 100, 0);
    daemon.answers(target, 40, 0);
    daemon.store.answers = false;
    daemon.run(std::chrono::seconds(0), std::chrono::seconds(12));
    rollout_report found = reportOf("c", std::chrono::seconds(12), answered(3, 1));
    found.condemned = true;
    daemon.system.hear(found, start + std::chrono::seconds(12));
    daemon.run(std::chrono::seconds(12), std::chrono::seconds(13));
    EXPECT_TRUE(daemon.row().condemned);
    ASSERT_FALSE(daemon.store.reports.empty());
    EXPECT_TRUE(daemon.store.reports.back().condemned) << "it passes the finding on";
}

// Guards against EXPOSURE: daemons looked at the evidence at different moments and moved all sessions each on its own,
// some of them moments before others found the version bad.
TEST(RolloutSystem, AllMoveWhenTheFirstReaderDoes)
{
    daemon_view daemon("b");
    daemon.table.order({ service, target, allowed }, start);
    daemon.answers(old, 100, 0);
    daemon.answers(target, 60, 0);
    rollout_report first = reportOf("a", std::chrono::seconds(0), {});
    for (int second = 0; second < 17; ++second) {
        first.age = std::chrono::seconds(second);
        daemon.system.hear(first, start + first.age);
        daemon.run(first.age, first.age + std::chrono::seconds(1));
    }
    EXPECT_FALSE(daemon.row().movedAt) << "the first one has not moved";
    first.age = std::chrono::seconds(17);
    first.moving = true;
    daemon.system.hear(first, start + first.age);
    daemon.run(first.age, first.age + std::chrono::milliseconds(50));
    EXPECT_TRUE(daemon.row().movedAt);
}

// Pattern: a service with little traffic; the trial ends with a few answers.
TEST(RolloutSystem, WithoutEnoughAnswersTheEvidenceThatThereIsDecides)
{
    struct trial {
        const char* what;
        int good;
        int bad;
        rollout_state state;
    };
    const std::vector<trial> cases {
        { "nothing seen", 0, 0, rollout_state::RolledBack },
        { "three well", 3, 0, rollout_state::Complete },
        { "two of five bad", 3, 2, rollout_state::RolledBack },
        { "one of one bad", 0, 1, rollout_state::RolledBack },
    };
    for (const trial& given : cases) {
        daemon_view daemon("a");
        daemon.table.order({ service, target, allowed }, start);
        daemon.answers(old, 100, 0);
        daemon.run(std::chrono::seconds(0), std::chrono::seconds(11));
        daemon.answers(target, given.good, given.bad);
        daemon.run(std::chrono::seconds(11), std::chrono::seconds(14));
        EXPECT_LT(daemon.row().share, 1) << given.what << ": sessions stay until it is decided";
        daemon.run(std::chrono::seconds(14), std::chrono::seconds(19));
        EXPECT_EQ(daemon.row().state, given.state) << given.what;
    }
}

// Guards against EXPOSURE: on a fleet with much traffic the quick answers of the first second spoke for a slow version,
// and all sessions moved to it. Pattern: 280 requests a second; half of the new version's first bytes come after four
// seconds.
TEST(RolloutSystem, QuickAnswersOfTheFirstMomentsDoNotSpeakForAVersionAlone)
{
    daemon_view daemon("a");
    daemon.table.order({ service, target, allowed }, start);
    daemon.answers(old, 2000, 0);
    daemon.run(std::chrono::seconds(0), std::chrono::seconds(10));
    daemon.answers(target, 60, 0);
    daemon.run(std::chrono::seconds(10), std::chrono::seconds(12));
    EXPECT_LT(daemon.row().share, 1);
    for (int i = 0; i < 60; ++i)
        daemon.system.countFirstByte({ service, target, route }, latency_grade::VerySlow);
    daemon.run(std::chrono::seconds(12), std::chrono::seconds(14));
    EXPECT_TRUE(daemon.row().condemned);
}

// Guards against EXPOSURE: a first byte that had been overdue did not move the bound when it came, so that the bound
// sank and a fifth of the old version's first bytes counted as slow beside those of a slow version.
TEST(FirstByteTimer, OverdueFirstBytesMoveTheBoundWhenTheyCome)
{
    daemon_view daemon("a");
    usual_latency usual;
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
    daemon.table.order({ service, target, allowed }, now);
    for (int i = 0; i < 500; ++i) {
        serve(old, 1);
        serve(target, i % 2 == 0 ? 8 : 1);
    }
    daemon.system.tick(now + std::chrono::seconds(10));
    EXPECT_EQ(daemon.row().evidence.total().others.timed, 500U);
    EXPECT_EQ(daemon.row().evidence.total().target.timed, 500U);
    EXPECT_LT(daemon.row().evidence.total().others.slow, 150U) << "one of five, give or take";
    EXPECT_GT(daemon.row().evidence.total().target.slow, 200U);
}

// Guards against EXPOSURE: quick first bytes counted when they came and slow ones seconds later, so that a version half
// of whose answers were slow looked well in a short trial. Pattern: 60 requests of a version in two seconds, looked at
// three seconds after the first.
TEST(FirstByteTimer, QuickFirstBytesCountNoSoonerThanSlowOnes)
{
    daemon_view daemon("a");
    daemon.store.answers = false;
    usual_latency usual;
    for (int i = 0; i < 200; ++i)
        usual.count({ service.text(), 0 }, std::chrono::milliseconds(400 + i), 0);
    daemon.table.order({ service, target, allowed }, start);
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

TEST(FirstByteTimer, LearnsAgainOnceARolloutIsOver)
{
    daemon_view daemon("a");
    usual_latency usual;
    first_byte_timer timer(usual, daemon.table, daemon.system);
    const auto serve = [&](int milliseconds) {
        timer.start({ { service, target, route }, 0, 0 }, start);
        timer.stop(start + std::chrono::milliseconds(milliseconds));
    };
    daemon.table.order({ service, target, allowed }, start);
    serve(1000);
    EXPECT_EQ(usual.grade({ service.text(), 0 }, std::chrono::seconds(1), 0), latency_grade::Usual)
        << "what is on trial is not what is usual";
    daemon.table.status({ service, target, rollout_state::Complete });
    serve(100);
    EXPECT_NE(usual.grade({ service.text(), 0 }, std::chrono::seconds(1), 0), latency_grade::Usual);
}

} // namespace pollen
