#include "sync_daemon.h"

#include <gtest/gtest.h>
#include <relay/fleet_sync_message.h>

namespace pollen {

namespace {

const fleet_sync::limits limits { std::chrono::milliseconds(1300), std::chrono::milliseconds(1800),
    std::chrono::milliseconds(1000), std::chrono::milliseconds(400) };
const time_point start { std::chrono::seconds(1000) };

// A position in the first era of the store.
log_position at(uint64_t offset) { return { 1, offset }; }

using contents = std::map<std::string, std::string>;

class FleetSyncTest : public testing::Test {
protected:
    FleetSyncTest()
    {
        m_time.advance(std::chrono::seconds(1000));
        addDaemons({ "a1", "a2", "a3", "b1", "b2" });
    }

    // The first letter of an id is the failure domain.
    void addDaemons(const std::vector<std::string>& ids)
    {
        for (const std::string& id : ids) {
            const auto port = static_cast<uint16_t>(m_daemons.size() + 1);
            m_daemons[id] = std::make_unique<sync_daemon>(m_network, m_time, id, id.substr(0, 1).c_str(), port, limits);
        }
        for (const auto& [id, daemon] : m_daemons) {
            daemon->store.listed.clear();
            for (const auto& [otherId, other] : m_daemons)
                daemon->store.listed.push_back(other->listed);
        }
    }

    // Advances m_time. A leader that reaches the store knows all of its records.
    void run(duration interval)
    {
        for (duration passed { 0 }; passed < interval; passed += step) {
            m_time.advance(step);
            for (const auto& [id, daemon] : m_daemons) {
                if (daemon->store.isLeader && daemon->storeReachable) {
                    for (const topic_record& record : m_written)
                        daemon->store.topic.apply(record);
                    daemon->store.topic.markSynced({ 1, m_written.size() }, m_time.now());
                }
                daemon->sharing.tick(m_time.now());
            }
        }
    }

    void write(const std::string& key, std::optional<std::string> value)
    {
        m_written.push_back({ key, std::move(value), { 1, m_written.size() } });
    }

    sync_daemon& at(const char* id) { return *m_daemons[id]; }
    duration age(const char* id) { return m_time.now() - at(id).store.topic.asOf(); }
    std::set<std::string> leaders()
    {
        std::set<std::string> ids;
        for (const auto& [id, daemon] : m_daemons) {
            if (daemon->store.isLeader)
                ids.insert(id);
        }
        return ids;
    }

    static constexpr duration step = std::chrono::milliseconds(50);
    manual_clock m_time;
    fake_network m_network;
    std::map<std::string, std::unique_ptr<sync_daemon>> m_daemons;
    std::vector<topic_record> m_written;
};

using ids = std::set<std::string>;

} // namespace

TEST(SharedTopic, IgnoresAnOlderRecordOfAKey)
{
    recording_listener listener;
    shared_topic topic(listener);
    topic.apply({ "k", "new", at(5) });
    topic.apply({ "k", "old", at(4) });
    EXPECT_EQ(listener.values, (contents { { "k", "new" } }));
}

TEST(SharedTopic, SendsMissingRecordsAndTombstones)
{
    recording_listener fromListener;
    recording_listener toListener;
    shared_topic from(fromListener);
    shared_topic to(toListener);
    EXPECT_EQ(from.changeSince({}, start), std::nullopt);
    from.apply({ "a", "1", at(0) });
    from.apply({ "b", "1", at(1) });
    from.markSynced(at(2), start);
    to.apply(*from.changeSince(to.state(), start), start);
    EXPECT_EQ(toListener.values, (contents { { "a", "1" }, { "b", "1" } }));
    from.apply({ "a", std::nullopt, at(2) });
    from.apply({ "c", "1", at(3) });
    from.markSynced(at(4), start);
    const topic_change change = *from.changeSince(to.state(), start);
    EXPECT_EQ(change.records.size(), 2U);
    to.apply(change, start);
    EXPECT_EQ(toListener.values, (contents { { "b", "1" }, { "c", "1" } }));
    EXPECT_EQ(to.position(), at(4));
}

TEST(SharedTopic, ASnapshotDeletesKeysItDoesNotContain)
{
    recording_listener fromListener;
    recording_listener toListener;
    shared_topic from(fromListener);
    shared_topic to(toListener);
    to.apply({ "gone", "1", at(1) });
    to.apply({ "newer", "1", at(9) });
    to.markSynced(at(2), start);
    from.apply({ "kept", "1", at(6) });
    from.markSynced(at(7), start);
    to.apply(*from.changeSince(to.state(), start), start);
    EXPECT_EQ(toListener.values, (contents { { "kept", "1" }, { "newer", "1" } }));
}

// Guards against DRAIN: many entries that change at once made replies that took longer over a leader's link than its
// members wait.
TEST(SharedTopic, ALargeChangeIsSentInParts)
{
    recording_listener fromListener;
    recording_listener toListener;
    shared_topic from(fromListener);
    shared_topic to(toListener);
    from.markSynced(at(1), start);
    to.apply(*from.changeSince(to.state(), start), start);
    for (uint64_t i = 1; i <= 10; ++i)
        from.apply({ "server-" + std::to_string(i), std::string(100, 'x'), at(i) });
    from.markSynced(at(11), start + std::chrono::seconds(1));
    const shared_topic::change_limits bounds { 5000, 350 };
    for (const size_t known : { size_t { 3 }, size_t { 6 }, size_t { 9 } }) {
        const topic_change part = *from.changeSince(to.state(), start, bounds);
        EXPECT_TRUE(part.isPartial);
        to.apply(part, start + std::chrono::seconds(1));
        EXPECT_EQ(toListener.values.size(), known);
        EXPECT_EQ(to.asOf(), start) << "the rest may be as old as that";
    }
    const topic_change last = *from.changeSince(to.state(), start + std::chrono::seconds(1), bounds);
    EXPECT_FALSE(last.isPartial);
    to.apply(last, start + std::chrono::seconds(1));
    EXPECT_EQ(toListener.values, fromListener.values);
    EXPECT_EQ(to.position(), at(11));
    EXPECT_EQ(to.asOf(), start + std::chrono::seconds(1));
    from.apply({ "large", std::string(400, 'x'), at(11) });
    from.apply({ "too large", std::string(6000, 'x'), at(12) });
    from.markSynced(at(13), start + std::chrono::seconds(1));
    EXPECT_TRUE(from.changeSince(to.state(), start, bounds)->isOmitted);
    EXPECT_EQ(from.changeSince(to.state(), start, { 50000, 350 })->records.size(), 1U) << "a record is never split";
}

TEST(SharedTopic, AgeOfAChangeCountsFromTheTimeOfTheRequest)
{
    recording_listener listener;
    shared_topic topic(listener);
    topic.apply(topic_change { false, at(3), std::chrono::seconds(1), {} }, start);
    EXPECT_EQ(topic.asOf(), start - std::chrono::seconds(1));
    topic.apply(topic_change { false, at(2), std::chrono::seconds(0), {} }, start + std::chrono::seconds(9));
    EXPECT_EQ(topic.asOf(), start - std::chrono::seconds(1)) << "a daemon that is behind has nothing newer";
}

TEST(FleetSyncMessage, RoundTripsAndRejectsMalformedBytes)
{
    const rollout_report report { instance_id("d"), 7, service_name("s"), version_name("v"), std::chrono::seconds(3),
        rollout_evidence({ { "r", { 1, 2, 3, 4, 5, 6 }, { 7, 8, 9, 10, 11, 12 } } }), 9, true, true };
    const fleet_sync_request request { { { { 3, 1 }, 0 }, { { 3, 2 }, 7 } }, instance_id("d"), true, true, { report },
        { { instance_id("e"), 3, 17000 } }, { 4, 12 },
        { { 6, 2 }, { { { 5, instance_id("d") }, 2, { { instance_id("e"), 1796354559998 } }, 1796354559000 } } },
        { 7, 9 },
        { { instance_id("e"), 11, 1.1, std::chrono::milliseconds(40) },
            { instance_id("f"), 12, std::nullopt, duration(0) } } };
    EXPECT_EQ(decodeFleetSyncRequest(encodeFleetSyncRequest(request)), request);
    const fleet_sync_reply reply { true,
        { { true, { 3, 9 }, std::chrono::seconds(2),
            { { "k", "v", { 3, 3 }, true }, { "d", std::nullopt, { 2, 4 } } } } },
        request.reports, { true, { 4, 13 }, request.work }, request.crashes, request.knownCrashes, request.rateLimits };
    const std::string bytes = encodeFleetSyncReply(reply);
    EXPECT_EQ(decodeFleetSyncReply(bytes), reply);
    for (size_t length = 0; length + 1 < bytes.size(); ++length)
        EXPECT_THROW(decodeFleetSyncReply(bytes.substr(0, length)), fleet_sync_error) << length;
    EXPECT_THROW(decodeFleetSyncReply(std::string(64, '\xff')), fleet_sync_error);
}

TEST_F(FleetSyncTest, OneLeaderPerFailureDomainReadsTheStore)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    EXPECT_EQ(leaders(), (ids { "a1", "b1" }));
    write("config", "2");
    write("extra", "1");
    run(std::chrono::milliseconds(600));
    for (const auto& [id, daemon] : m_daemons) {
        EXPECT_EQ(daemon->store.listener.values, (contents { { "config", "2" }, { "extra", "1" } })) << id;
        EXPECT_LT(age(id.c_str()), std::chrono::seconds(1)) << id;
    }
}

TEST_F(FleetSyncTest, ALeaderThatIsDownOrSilentIsReplacedAtOnce)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    m_network.down.insert(at("a1").listed.address);
    m_network.silent.insert(at("b1").listed.address);
    run(std::chrono::seconds(2));
    EXPECT_TRUE(at("a2").store.isLeader);
    EXPECT_TRUE(at("b2").store.isLeader);
    EXPECT_EQ(at("a3").sharing.upstream(), instance_id("a2"));
    write("config", "2");
    run(std::chrono::seconds(1));
    EXPECT_EQ(at("a3").store.listener.values, (contents { { "config", "2" } }));
    EXPECT_EQ(at("b2").store.listener.values, (contents { { "config", "2" } }));
    m_network.down.clear();
    m_network.silent.clear();
    run(std::chrono::seconds(70));
    EXPECT_EQ(leaders(), (ids { "a1", "b1" }));
}

// A daemon sends a prompt that a server takes seconds to read. The other daemons must not queue requests behind it.
TEST_F(FleetSyncTest, DaemonsOfAFailureDomainSharePendingWork)
{
    listed_server engine;
    engine.entry.id = instance_id("engine");
    for (const auto& [id, daemon] : m_daemons)
        daemon->servers.replaceListed({ engine });
    run(std::chrono::seconds(1));
    const auto row = [&](const char* id) { return at(id).servers.row({ 0 }); };
    at("a3").servers.addRequest({ 0 });
    at("a3").servers.addPendingPromptTokens({ 0 }, 50000);
    at("a1").servers.addRequest({ 0 });
    run(std::chrono::seconds(1));
    EXPECT_EQ(row("a1").peerPendingPromptTokens, 50000U);
    EXPECT_EQ(row("a2").peerPendingPromptTokens, 50000U);
    EXPECT_EQ(row("a2").outstanding(), 2U);
    EXPECT_EQ(row("a3").outstanding(), 2U) << "its own request is counted once";
    EXPECT_EQ(row("b1").outstanding(), 0U);
    at("a3").servers.removePendingPromptTokens({ 0 }, 50000);
    at("a3").servers.removeRequest({ 0 });
    run(std::chrono::seconds(2));
    EXPECT_EQ(row("a2").totalPendingPromptTokens(), 0U);
    EXPECT_EQ(row("a2").outstanding(), 1U);
}

// The store is unreachable while servers crash under a request that is sent through each daemon in turn.
TEST_F(FleetSyncTest, DaemonsShareCrashesDuringAStoreOutage)
{
    run(std::chrono::seconds(1));
    for (const auto& [id, daemon] : m_daemons)
        daemon->store.stores = false;
    constexpr uint64_t crashingRequest = 1;
    int server = 0;
    for (const char* id : { "a1", "a2", "a3" })
        at(id).crashTable.addCrash(
            crashingRequest, instance_id("i-" + std::to_string(++server)), m_time.wallMilliseconds());
    run(std::chrono::milliseconds(600));
    for (const char* id : { "a1", "a2", "a3" })
        EXPECT_TRUE(at(id).crashTable.isQuarantined(crashingRequest, m_time.wallMilliseconds())) << id;
    // The leaders of the failure domains compare their states.
    run(limits.comparisonInterval + std::chrono::milliseconds(300));
    for (const char* id : { "b1", "b2" })
        EXPECT_TRUE(at(id).crashTable.isQuarantined(crashingRequest, m_time.wallMilliseconds())) << id;
}

// The store rejects some daemons and serves the others.
TEST_F(FleetSyncTest, ADaemonThatTheStoreRejectsSyncsWithAnyOther)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    for (const char* id : { "a1", "a2", "a3" })
        at(id).storeReachable = false;
    write("config", "2");
    run(std::chrono::seconds(12));
    for (const char* id : { "a1", "a2", "a3" }) {
        EXPECT_EQ(at(id).store.listener.values, (contents { { "config", "2" } })) << id;
        EXPECT_LT(age(id), std::chrono::milliseconds(4500)) << id;
    }
}

// The leader of a failure domain loses the store just before a configuration is written. The other daemons must have
// the configuration within two seconds.
TEST_F(FleetSyncTest, AConfigurationArrivesInTimeWhenTheLeaderHasLostTheStore)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    at("a1").storeReachable = false;
    write("config", "2");
    run(std::chrono::milliseconds(1900));
    for (const char* id : { "a2", "a3" })
        EXPECT_EQ(at(id).store.listener.values, (contents { { "config", "2" } })) << id;
}

// On a calm day each member sends four requests a second, and each leader no more than its comparisons.
TEST_F(FleetSyncTest, RequestRateOnACalmDay)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    const int requestsBefore = m_network.requests;
    run(std::chrono::seconds(8));
    const int memberRequests = 3 * 4 * 8;
    const int comparisons = static_cast<int>(2 * (std::chrono::seconds(8) / limits.comparisonInterval));
    EXPECT_LE(m_network.requests - requestsBefore, memberRequests + comparisons);
    EXPECT_EQ(leaders(), (ids { "a1", "b1" }));
}

TEST_F(FleetSyncTest, SyncNeverLowersTheAgeOfTheFleetState)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    for (const auto& [id, daemon] : m_daemons)
        daemon->storeReachable = false;
    run(std::chrono::seconds(10));
    for (const auto& [id, daemon] : m_daemons)
        EXPECT_GE(age(id.c_str()), std::chrono::seconds(10)) << id;
}

// The store is unreachable for all daemons, and each of them queries others for a newer fleet state.
TEST_F(FleetSyncTest, RequestRateStaysBoundedDuringAStoreOutage)
{
    std::vector<std::string> addedIds;
    for (int i = 10; i < 50; ++i)
        addedIds.push_back("c" + std::to_string(i));
    addDaemons(addedIds);
    run(std::chrono::seconds(1));
    for (const auto& [id, daemon] : m_daemons)
        daemon->storeReachable = false;
    run(std::chrono::seconds(3));
    const int requestsBefore = m_network.requests;
    run(std::chrono::seconds(8));
    // Four requests a second, as while the store is reachable.
    const int expectedRequests = 8 * 4 * static_cast<int>(m_daemons.size());
    EXPECT_LE(m_network.requests - requestsBefore, expectedRequests);
}

// Forty daemons of one failure domain lose the store for ten seconds. Without back-off each of them polled it twice a
// second, which made up most of the calls of a day.
TEST_F(FleetSyncTest, AFewDaemonsPollTheStoreDuringAnOutageAndAllRecoverSoon)
{
    std::vector<std::string> names;
    for (int i = 10; i < 50; ++i)
        names.push_back("c" + std::to_string(i));
    addDaemons(names);
    write("config", "1");
    run(std::chrono::seconds(3));
    for (const auto& [id, daemon] : m_daemons)
        daemon->storeReachable = false;
    run(std::chrono::seconds(3));
    size_t leaderCount = 0;
    size_t samples = 0;
    for (; samples < 140; ++samples) {
        run(step);
        leaderCount += leaders().size();
    }
    EXPECT_LE(leaderCount / samples, 5U + 3U + 4U) << "both small domains, three of the large one and those that probe";
    EXPECT_GE(leaderCount / samples, 3U);
    for (const auto& [id, daemon] : m_daemons)
        daemon->storeReachable = true;
    write("config", "2");
    run(std::chrono::milliseconds(1500));
    for (const auto& [id, daemon] : m_daemons)
        EXPECT_EQ(daemon->store.listener.values, (contents { { "config", "2" } })) << id;
    run(std::chrono::seconds(3));
    EXPECT_EQ(leaders(), (ids { "a1", "b1", "c10" }));
}

// The store rejects a third of the daemons, among them the first leader of the failure domain.
TEST_F(FleetSyncTest, FleetStateStaysFreshWhenTheStoreRejectsAThirdOfTheDaemons)
{
    std::vector<std::string> names;
    for (int i = 10; i < 50; ++i)
        names.push_back("c" + std::to_string(i));
    addDaemons(names);
    write("config", "1");
    run(std::chrono::seconds(3));
    size_t index = 0;
    for (const auto& [id, daemon] : m_daemons)
        daemon->storeReachable = index++ % 3 != 0;
    ASSERT_FALSE(at("a1").storeReachable);
    ASSERT_FALSE(at("c11").storeReachable);
    at("c10").storeReachable = false;
    duration oldest { 0 };
    for (int i = 0; i < 200; ++i) {
        run(step);
        for (const auto& [id, daemon] : m_daemons)
            oldest = std::max(oldest, age(id.c_str()));
    }
    EXPECT_LT(oldest, std::chrono::milliseconds(3500)) << "keys remain valid for longer than that";
}

// All daemons start at the same time. Without waiting for preceding daemons each of them read the whole fleet state
// from the store.
TEST_F(FleetSyncTest, DaemonsThatStartTogetherReadTheStoreOncePerFailureDomain)
{
    std::vector<std::string> names;
    for (int i = 10; i < 50; ++i)
        names.push_back("c" + std::to_string(i));
    addDaemons(names);
    write("config", "1");
    ids everLeaders;
    for (int i = 0; i < 10; ++i) {
        run(step);
        everLeaders.merge(leaders());
    }
    EXPECT_EQ(everLeaders, (ids { "a1", "b1", "c10" }));
    for (const auto& [id, daemon] : m_daemons) {
        daemon->table.applyOrder({ service_name("s"), version_name("v2"), std::chrono::seconds(20) }, m_time.now());
        daemon->rollouts.tick(m_time.now());
        EXPECT_EQ(daemon->store.reports.empty(), !everLeaders.contains(id))
            << id << ": only leaders report to the store";
    }
    for (const auto& [id, daemon] : m_daemons)
        EXPECT_EQ(daemon->store.listener.values, (contents { { "config", "1" } })) << id;
}

TEST_F(FleetSyncTest, AStartingDaemonWhosePredecessorsAreDownReadsTheStoreSoon)
{
    m_network.down = { at("a1").listed.address, at("a2").listed.address };
    for (const char* gone : { "a1", "a2", "b1", "b2" })
        at(gone).storeReachable = false;
    write("config", "1");
    run(std::chrono::milliseconds(600));
    EXPECT_EQ(at("a3").store.listener.values, (contents { { "config", "1" } }));
}

// Guards against CONFIG: a large configuration went from one leader to each member of its group; on a slow link the
// replies came too late, were dropped, and asked for again from others.
TEST_F(FleetSyncTest, LargeChangesAreReadFromTheStore)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    write("config", std::string(100U << 10, 'x'));
    run(std::chrono::milliseconds(600));
    for (const char* id : { "a1", "b1" })
        EXPECT_EQ(at(id).store.topic.position().offset, 2U) << id;
    for (const char* id : { "a2", "a3", "b2" }) {
        EXPECT_EQ(at(id).store.topic.position().offset, 1U) << id;
        EXPECT_GT(at(id).store.readsOnce, 0) << id;
    }
    // These cannot read the store, and get the change from others.
    run(std::chrono::milliseconds(1400));
    for (const char* id : { "a2", "a3", "b2" })
        EXPECT_EQ(at(id).store.topic.position().offset, 2U) << id;
    EXPECT_EQ(leaders(), (ids { "a1", "b1" }));
}

// Guards against DRAIN: a leader that read the configuration and no longer the entries of servers was taken for
// current, and its group went on using servers that were leaving.
TEST_F(FleetSyncTest, ALeaderThatDoesNotReadTheServersIsReplaced)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    at("a1").store.readsServers = false;
    run(std::chrono::milliseconds(700));
    EXPECT_TRUE(at("a2").store.isLeader);
    EXPECT_EQ(at("a3").sharing.upstream(), instance_id("a2"));
    at("a1").store.readsServers = true;
    run(std::chrono::seconds(4));
    EXPECT_EQ(leaders(), (ids { "a1", "b1" }));
}

// Guards against EXPOSURE: a leader without the store knew the counts of its own group only and decided for all.
TEST_F(FleetSyncTest, ALeaderWithoutTheStoreDoesNotDecideOnRollouts)
{
    write("config", "1");
    run(std::chrono::seconds(3));
    const service_name service("s");
    const version_name target("v2");
    const version_name old("v1");
    for (const char* id : { "a1", "b1" })
        at(id).table.applyOrder({ service, target, std::chrono::seconds(12) }, m_time.now());
    at("a1").storeReachable = false;
    at("a1").store.reachable = false;
    // The decision falls due meanwhile.
    for (int i = 0; i < 240; ++i) {
        run(step);
        for (const char* id : { "a1", "b1" }) {
            for (int k = 0; k < 20; ++k) {
                at(id).rollouts.countSent({ service, old, "r" });
                at(id).rollouts.countAnswer({ service, old, "r" }, true);
            }
            at(id).rollouts.countSent({ service, i % 8 == 0 ? target : old, "r" });
            at(id).rollouts.countAnswer({ service, i % 8 == 0 ? target : old, "r" }, true);
            at(id).rollouts.tick(m_time.now());
        }
    }
    EXPECT_TRUE(at("a1").store.published.empty());
    EXPECT_FALSE(at("b1").store.published.empty());
}

} // namespace pollen
