#include "fake_fleet_store.h"

#include <gtest/gtest.h>
#include <random>
#include <relay/crash_publisher.h>
#include <set>

namespace pollen {

namespace {

// Unix milliseconds.
constexpr int64_t start = 1796354559998;
constexpr int64_t second = 1000;
constexpr int64_t minute = 60 * second;
constexpr uint64_t crashingRequest = 1;

instance_id server(int number) { return instance_id("i-" + std::to_string(number)); }

// Distributes the unstored reports of each daemon to all others, as the store does.
void exchange(std::vector<crash_table>& fleet)
{
    std::vector<crash_report> written;
    for (crash_table& daemon : fleet) {
        const std::vector<crash_report> reports = daemon.unstored();
        written.insert(written.end(), reports.begin(), reports.end());
    }
    for (crash_table& daemon : fleet) {
        for (const crash_report& report : written)
            daemon.merge(report, true);
    }
}

std::vector<crash_table> makeFleet(size_t count)
{
    std::vector<crash_table> fleet;
    for (size_t i = 0; i < count; ++i)
        fleet.emplace_back(instance_id("d" + std::to_string(i)));
    return fleet;
}

} // namespace

// Guards against more than three crashes per request: each daemon counted only the crashes that it had detected itself.
TEST(CrashTable, AllDaemonsQuarantineARequestAfterThreeCrashes)
{
    std::vector<crash_table> fleet = makeFleet(72);
    for (int end = 0; end < 3; ++end) {
        for (const crash_table& daemon : fleet)
            EXPECT_FALSE(daemon.isQuarantined(crashingRequest, start + end * minute)) << end;
        fleet[static_cast<size_t>(end) * 20].addCrash(crashingRequest, server(end), start + end * minute);
        fleet[7].addCrash(crashingRequest + 1, server(0), start);
        exchange(fleet);
    }
    for (const crash_table& daemon : fleet) {
        EXPECT_TRUE(daemon.isQuarantined(crashingRequest, start + 2 * minute));
        EXPECT_FALSE(daemon.isQuarantined(crashingRequest + 1, start + 2 * minute));
    }
}

TEST(CrashTable, ARestartedDaemonContinuesFromStoredReports)
{
    std::vector<crash_table> fleet = makeFleet(2);
    fleet[0].addCrash(crashingRequest, server(0), start);
    fleet[0].addCrash(crashingRequest, server(1), start + second);
    exchange(fleet);
    fleet[0] = crash_table(instance_id("d0"));
    for (const crash_report& report : fleet[1].unstored())
        FAIL() << "an already stored report was to be stored again: " << fingerprintText(report.key.fingerprint);
    fleet[0].merge(
        { { crashingRequest, instance_id("d0") }, 2, { { server(0), start }, { server(1), start + second } }, 0 },
        true);
    fleet[0].addCrash(crashingRequest, server(2), start + 5 * second);
    exchange(fleet);
    EXPECT_TRUE(fleet[1].isQuarantined(crashingRequest, start + 5 * second));
}

// Guards against counting one crash several times: many daemons had the same request running on the server.
TEST(CrashTable, ACrashSeenBySeveralDaemonsCountsOnce)
{
    std::vector<crash_table> fleet = makeFleet(4);
    for (crash_table& daemon : fleet) {
        daemon.addCrash(crashingRequest, server(0), start);
        daemon.addCrash(crashingRequest, server(0), start + 100);
    }
    exchange(fleet);
    EXPECT_EQ(fleet[0].countCrashes(crashingRequest), 1U);
    fleet[1].addCrash(crashingRequest, server(0), start + 5 * second);
    EXPECT_EQ(fleet[1].countCrashes(crashingRequest), 2U) << "the server restarted and crashed again";
}

// Guards against quarantining a harmless request: a frequent request runs on many servers that go down at the same
// time.
TEST(CrashTable, AResponseExplainsCrashesCloseToIt)
{
    struct history {
        const char* what;
        // Seconds after the crashes, seen by another daemon; negative for before.
        std::vector<int64_t> answers;
        bool quarantined;
    };
    const std::vector<history> cases {
        { "never answered", {}, true },
        { "answered long before", { -60 }, true },
        { "answered 2 s before", { -2 }, false },
        { "answered afterwards", { 4 }, false },
        { "answered all the time", { -2, -1, 1, 2, 3 }, false },
    };
    for (const history& given : cases) {
        std::vector<crash_table> fleet = makeFleet(3);
        for (const int64_t answer : given.answers) {
            if (answer < 0)
                fleet[1].addAnswer(crashingRequest, start + answer * second);
        }
        for (int i = 0; i < 4; ++i)
            fleet[0].addCrash(crashingRequest, server(i), start + i);
        exchange(fleet);
        for (const int64_t answer : given.answers) {
            if (answer >= 0)
                fleet[2].addAnswer(crashingRequest, start + answer * second);
        }
        exchange(fleet);
        for (const crash_table& daemon : fleet)
            EXPECT_EQ(daemon.isQuarantined(crashingRequest, start + 5 * second), given.quarantined) << given.what;
    }
}

// Guards against crashes counted by mistake: a firewall refuses connections to a partitioned failure domain whose
// servers keep working.
TEST(CrashTable, AWithdrawnCrashCountsOnNoDaemon)
{
    std::vector<crash_table> fleet = makeFleet(3);
    for (int i = 0; i < 3; ++i)
        fleet[0].addCrash(crashingRequest, server(i), start + i);
    exchange(fleet);
    EXPECT_TRUE(fleet[2].isQuarantined(crashingRequest, start + second));
    const std::vector<crash_report> before { { { crashingRequest, instance_id("d0") }, 3,
        { { server(0), start }, { server(1), start + 1 }, { server(2), start + 2 } }, 0 } };
    fleet[0].withdrawCrash(crashingRequest, server(1), start + 1);
    exchange(fleet);
    for (crash_table& daemon : fleet) {
        daemon.merge(before.front(), false);
        EXPECT_EQ(daemon.countCrashes(crashingRequest), 2U) << "an older revision is ignored";
    }
}

TEST(CrashTable, CrashesExplainedBeforePublishingAreNotStored)
{
    crash_table table(instance_id("d"));
    table.addCrash(crashingRequest, server(0), start);
    EXPECT_EQ(table.unstored().size(), 1U);
    table.addAnswer(crashingRequest, start + 200);
    EXPECT_TRUE(table.unstored().empty());
}

TEST(CrashTable, AQuarantineExpiresAndAFurtherCrashRenewsIt)
{
    crash_table table(instance_id("d"));
    for (int i = 0; i < 3; ++i)
        table.addCrash(crashingRequest, server(i), start + i * second);
    EXPECT_TRUE(table.isQuarantined(crashingRequest, start + 10 * minute));
    EXPECT_FALSE(table.isQuarantined(crashingRequest, start + 11 * minute));
    table.sweep(start + 11 * minute);
    table.addCrash(crashingRequest, server(3), start + 11 * minute);
    EXPECT_TRUE(table.isQuarantined(crashingRequest, start + 20 * minute));
    EXPECT_EQ(table.takeNewlyQuarantined(start + 12 * minute), (std::vector<uint64_t> { crashingRequest }));
    EXPECT_TRUE(table.takeNewlyQuarantined(start + 13 * minute).empty()) << "it is reported once";
    EXPECT_EQ(table.countQuarantined(start + 13 * minute), 1U);
}

TEST(CrashTable, ExpiredReportsAreDroppedFromTheStore)
{
    crash_table table(instance_id("d"));
    const crash_report report { { crashingRequest, instance_id("gone") }, 1, { { server(0), start } }, 0 };
    table.merge(report, true);
    EXPECT_TRUE(table.outdated(start + 50 * minute).empty());
    EXPECT_EQ(table.outdated(start + 61 * minute), (std::vector<crash_report_key> { report.key }));
    table.merge({ { crashingRequest, instance_id("d") }, 1, {}, start + second }, true);
    EXPECT_EQ(table.outdated(start + 2 * minute).size(), 2U) << "a response has explained the crash";
    table.drop(report.key);
    table.drop({ crashingRequest, instance_id("d") });
    table.drop({ crashingRequest, instance_id("unknown") });
    EXPECT_EQ(table.countCrashes(crashingRequest), 0U);
}

// Guards against unbounded memory: servers crash continually under requests that never recur.
TEST(CrashTable, KeepsABoundedNumberOfRequests)
{
    crash_table table(instance_id("d"));
    std::mt19937_64 random(1);
    for (int i = 0; i < 5000; ++i)
        table.addCrash(random(), server(i), start + i);
    for (int i = 0; i < 3; ++i)
        table.addCrash(crashingRequest, server(i), start + 10 * second + i);
    table.sweep(start + 11 * second);
    EXPECT_TRUE(table.isQuarantined(crashingRequest, start + 11 * second)) << "the oldest are removed first";
    size_t stored = 0;
    for (std::vector<crash_report> reports = table.unstored(); !reports.empty(); reports = table.unstored()) {
        for (const crash_report& report : reports)
            table.merge(report, true);
        stored += reports.size();
        ASSERT_LE(stored, 2048U);
    }
}

// Guards against reports left in the store forever: with very many crashes, daemons remove the oldest reports before
// they expire.
TEST(CrashTable, ReportsBeyondTheMaximumAreDroppedFromTheStoreFirst)
{
    crash_table table(instance_id("d"));
    constexpr uint64_t requests = 3000;
    for (uint64_t i = 1; i <= requests; ++i)
        table.merge({ { i, instance_id("e") }, 1, { { server(0), start + static_cast<int64_t>(i) } }, 0 }, true);
    std::set<uint64_t> dropped;
    for (int round = 0; round < 10; ++round) {
        table.sweep(start + minute);
        for (const crash_report_key& key : table.outdated(start + minute)) {
            dropped.insert(key.fingerprint);
            table.drop(key);
        }
    }
    EXPECT_EQ(dropped.size(), requests - 2048);
    EXPECT_EQ(*dropped.rbegin(), requests - 2048) << "the oldest are removed first";
    EXPECT_EQ(table.countCrashes(requests), 1U);
}

// Guards against losing crash reports while the store rejects writes for some seconds.
TEST(CrashPublisher, PublishesReportsOnceTheStoreAcceptsThem)
{
    manual_clock time;
    time.advance(std::chrono::milliseconds(start));
    null_logger log;
    fake_fleet_store store;
    crash_table table(instance_id("d"));
    crash_publisher publisher(table, store, time, log);
    const auto run = [&](duration span) {
        for (duration passed { 0 }; passed < span; passed += std::chrono::milliseconds(50)) {
            time.advance(std::chrono::milliseconds(50));
            publisher.tick(time.now());
        }
    };
    store.stores = false;
    table.addCrash(crashingRequest, server(0), time.wallMilliseconds());
    run(std::chrono::seconds(3));
    EXPECT_LE(store.crashReports.size(), 3U) << "at most one call per second";
    store.stores = true;
    store.crashReports.clear();
    run(std::chrono::milliseconds(1100));
    EXPECT_EQ(store.crashReports.size(), 1U);
    publisher.setLeader(false);
    table.addCrash(crashingRequest, server(1), time.wallMilliseconds());
    run(std::chrono::seconds(3));
    EXPECT_EQ(store.crashReports.size(), 1U) << "only the leader writes to the store";
    publisher.setLeader(true);
    run(std::chrono::milliseconds(1100));
    EXPECT_EQ(store.crashReports.size(), 2U);
}

// Guards against BUDGET: requests with one deadly part, no two alike, were each tried on servers again.
TEST(CrashTable, APartIsHeldAgainstRequestsOnceItsCrashesHaveNoOtherExplanation)
{
    constexpr uint64_t deadly = 7;
    constexpr uint64_t shared = 8;
    constexpr uint64_t other = 9;
    const std::vector<uint64_t> both { partFingerprint(shared), partFingerprint(deadly) };
    crash_table table(instance_id("a"));
    const auto crash = [&](int number, uint64_t request, uint64_t neighbour) {
        for (const uint64_t part : { neighbour, deadly })
            table.addCrash(partFingerprint(part), server(number), start + number * second, request);
    };
    const auto isRefused
        = [&](const std::vector<uint64_t>& parts) { return table.containsCrashingPart(parts, start + 10 * second); };
    for (int number : { 0, 1, 2 })
        crash(number, 100, shared);
    EXPECT_FALSE(isRefused(both)) << "one request may crash servers for a reason of its own";
    crash(3, 101, shared);
    EXPECT_TRUE(isRefused(both));
    EXPECT_FALSE(isRefused({ partFingerprint(shared) })) << "either part may be the cause";
    EXPECT_FALSE(isRefused({ partFingerprint(deadly) }));
    crash(4, 102, other);
    EXPECT_TRUE(isRefused({ partFingerprint(deadly) })) << "it alone is in all of them";
    EXPECT_FALSE(isRefused({ partFingerprint(shared) }));
    EXPECT_FALSE(isRefused({ partFingerprint(other) }));
}

TEST(CrashTable, APartThatWasAnsweredIsHarmlessHoweverManyServersCrashWithIt)
{
    crash_table table(instance_id("a"));
    table.addAnswer(partFingerprint(7), start - 30 * second);
    uint64_t request = 0;
    for (int number = 0; number < 6; ++number)
        table.addCrash(partFingerprint(7), server(number), start + number * second, ++request);
    EXPECT_FALSE(table.containsCrashingPart({ partFingerprint(7) }, start + 10 * second));
}

// Guards against CONFIG: all reports that the store did not hold were sent to each daemon with each reply.
TEST(CrashTable, ReportsAreSentOnceToADaemonThatKnowsThem)
{
    constexpr size_t batch = 10;
    constexpr auto all = crash_table::reporters::All;
    crash_table table { instance_id("a") };
    crash_table other { instance_id("b") };
    for (uint64_t request = 1; request <= 25; ++request)
        table.addCrash(request, instance_id("i-1"), 1000, request);
    uint64_t known = 0;
    size_t sent = 0;
    for (const size_t expected : { batch, batch, size_t { 5 }, size_t { 0 } }) {
        const crash_changes changes = table.unstoredSince(known, all, batch);
        EXPECT_EQ(changes.reports.size(), expected);
        for (const crash_report& report : changes.reports)
            other.merge(report, false);
        known = changes.state.change;
        sent += changes.reports.size();
    }
    EXPECT_EQ(sent, 25U);
    EXPECT_EQ(other.unstored(), table.unstored());
    EXPECT_TRUE(other.unstoredSince(0, crash_table::reporters::Self, batch).reports.empty());
    table.addCrash(3, instance_id("i-2"), 5000, 3);
    const crash_changes news = table.unstoredSince(known, all, batch);
    ASSERT_EQ(news.reports.size(), 1U);
    EXPECT_EQ(news.reports.front().crashes.size(), 2U);
    other.merge(news.reports.front(), false);
    table.merge(news.reports.front(), true);
    EXPECT_TRUE(table.unstoredSince(news.state.change, all, batch).reports.empty());
    EXPECT_EQ(table.unstored().size(), 24U);
}

} // namespace pollen
