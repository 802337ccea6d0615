#include <adapter/keyed_follower.h>
#include <base/json_logger.h>
#include <gtest/gtest.h>
#include <standins/store_standin.h>

namespace pollen {

namespace {

constexpr duration wait = std::chrono::milliseconds(400);
// Time of a call to the store over loopback, with room for a busy machine.
constexpr duration callTime = std::chrono::milliseconds(150);

class counting_listener final : public topic_listener {
public:
    bool onKey(const std::string&, const std::optional<std::string>&) override
    {
        ++keys;
        return true;
    }
    void onSynced(time_point) override { }

    int keys = 0;
};

class StoreFollowerTest : public testing::Test {
protected:
    void runFor(duration span)
    {
        const time_point end = m_time.now() + span;
        m_loop.runUntil([&] { return m_time.now() >= end; }, span + wait);
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    random_source m_random { 1 };
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    http_client m_http { m_loop };
    store_client m_client { m_http, m_store.address(), m_log };
    counting_listener m_listener;
    shared_topic m_topic { m_listener };
    keyed_follower m_follower { m_loop, m_client, "keyed.op", { wait, duration(0), true, std::chrono::seconds(1) },
        m_topic, m_random, m_time, m_log };
};

} // namespace

// Pattern: a record comes late in a wait, and nothing follows it. Daemons that ask this one refuse a view that is much
// older than one wait.
TEST_F(StoreFollowerTest, AViewIsNeverOlderThanOneWait)
{
    m_follower.setActive(true);
    ASSERT_TRUE(m_loop.runUntil([&] { return m_topic.isSynced(); }, wait));
    runFor(wait * 7 / 8);
    m_store.put("keyed.op", "config", "1");
    duration oldest { 0 };
    const time_point end = m_time.now() + wait * 2;
    m_loop.runUntil(
        [&] {
            oldest = std::max<duration>(oldest, m_time.now() - m_topic.asOf());
            return m_time.now() >= end;
        },
        wait * 3);
    EXPECT_EQ(m_listener.keys, 1);
    EXPECT_LT(oldest, wait + callTime);
}

// Pattern: the store is away, and every follower of every daemon asks for it.
TEST_F(StoreFollowerTest, OneFollowerFindsOutThatTheStoreIsBackForTheOthers)
{
    counting_listener listener;
    shared_topic topic(listener);
    keyed_follower beside(m_loop, m_client, "keyed.servers", { wait, duration(0), false, std::chrono::seconds(30) },
        topic, m_random, m_time, m_log);
    m_follower.setReconnectedCallback([&] { beside.readNow(); });
    m_store.put("keyed.servers", "i-1", "1");
    m_store.set("outage", 1);
    m_follower.setActive(true);
    beside.setActive(true);
    runFor(std::chrono::seconds(2));
    m_store.set("outage", 0);
    EXPECT_TRUE(m_loop.runUntil([&] { return listener.keys == 1; }, std::chrono::seconds(2)));
}

TEST_F(StoreFollowerTest, AChangeCostsOneCallMore)
{
    m_follower.setActive(true);
    ASSERT_TRUE(m_loop.runUntil([&] { return m_topic.isSynced(); }, wait));
    runFor(wait / 8);
    const size_t before = m_store.calls();
    m_store.put("keyed.op", "config", "1");
    runFor(wait / 2);
    EXPECT_EQ(m_store.calls() - before, 2U) << "one that does not wait, and the next wait";
}

// Guards against BUDGET: a read that an outage had swallowed was waited for to its end, ten seconds for the daemons'
// topic, and what the daemons told each other meanwhile was not read (seed 42 of ARequestThatEndsServersIsHeldBack...).
TEST_F(StoreFollowerTest, AReadThatAnOutageSwallowedIsNotWaitedFor)
{
    counting_listener listener;
    shared_topic topic(listener);
    keyed_follower patient(m_loop, m_client, "keyed.daemons",
        { std::chrono::seconds(10), callTime / 2, false, std::chrono::seconds(1) }, topic, m_random, m_time, m_log);
    patient.setActive(true);
    ASSERT_TRUE(m_loop.runUntil([&] { return topic.isSynced(); }, wait));
    m_store.put("keyed.daemons", "a", "1");
    ASSERT_TRUE(m_loop.runUntil([&] { return listener.keys == 1; }, std::chrono::seconds(2)));
    // The next read follows after a pause, and comes to nothing.
    m_store.set("outage", 2);
    runFor(callTime);
    m_store.set("outage", 0);
    m_store.put("keyed.daemons", "b", "1");
    patient.restart();
    EXPECT_TRUE(m_loop.runUntil([&] { return listener.keys == 2; }, std::chrono::seconds(2)));
}

// Guards against CONFIG: a store that no longer answers was noticed only when the call had timed out.
TEST_F(StoreFollowerTest, AReadThatIsOverdueShowsThatTheStoreIsOutOfReach)
{
    m_follower.setActive(true);
    ASSERT_TRUE(m_loop.runUntil([&] { return m_topic.isSynced(); }, wait));
    runFor(wait * 2);
    EXPECT_TRUE(m_follower.isReachable());
    m_store.set("outage", 2);
    EXPECT_TRUE(m_loop.runUntil([&] { return !m_follower.isReachable(); }, wait + callTime * 2))
        << "the call itself times out only after 1.2 s more";
    m_store.set("outage", 0);
    EXPECT_TRUE(m_loop.runUntil([&] { return m_follower.isReachable(); }, std::chrono::seconds(5)));
}

// Guards against CONFIG: an answer of an earlier era that arrives late, and a condition on a position that a later era
// has given out again.
TEST_F(StoreFollowerTest, AnswersAndConditionsOfAnEarlierEraAreNotUsed)
{
    std::vector<store_outcome> outcomes;
    const auto wrote = [&](store_outcome outcome) { outcomes.push_back(outcome); };
    int restores = 0;
    m_client.setRestoredCallback([&] { ++restores; });
    m_client.newest("keyed.op", "", [&](store_outcome outcome, const newest_page&) { outcomes.push_back(outcome); });
    ASSERT_TRUE(m_loop.runUntil([&] { return outcomes.size() == 1; }, std::chrono::seconds(2)));
    EXPECT_EQ(m_client.era(), 1U);
    m_store.set("copy", 1);
    m_store.set("restore", 1);
    // The condition on the offset holds by chance; the answer tells the new era.
    m_client.append("keyed.status", { makeKeyedRecord("k", "v") }, log_position { 1, 0 }, wrote);
    ASSERT_TRUE(m_loop.runUntil([&] { return outcomes.size() == 2; }, std::chrono::seconds(2)));
    m_client.append("keyed.status", { makeKeyedRecord("k", "v") }, log_position { 1, 1 }, wrote);
    ASSERT_TRUE(m_loop.runUntil([&] { return outcomes.size() == 3; }, std::chrono::seconds(2)));
    m_client.append("keyed.status", { makeKeyedRecord("k", "v") }, log_position { 2, 1 }, wrote);
    ASSERT_TRUE(m_loop.runUntil([&] { return outcomes.size() == 4; }, std::chrono::seconds(2)));
    m_store.set("era", 1);
    m_client.append("keyed.status", { makeKeyedRecord("k", "v") }, std::nullopt, wrote);
    ASSERT_TRUE(m_loop.runUntil([&] { return outcomes.size() == 5; }, std::chrono::seconds(2)));
    EXPECT_EQ(outcomes,
        (std::vector { store_outcome::Done, store_outcome::Unknown, store_outcome::Conflict, store_outcome::Done,
            store_outcome::Unknown }));
    EXPECT_EQ(m_client.era(), 2U);
    EXPECT_EQ(restores, 1);
}

// Guards against CONFIG: records that had expired before they were read were asked for again and again.
TEST_F(StoreFollowerTest, HistoryThatHasExpiredIsReadAsASnapshot)
{
    m_follower.setActive(true);
    ASSERT_TRUE(m_loop.runUntil([&] { return m_topic.isSynced(); }, wait));
    for (int lost = 0; lost < 2; ++lost) {
        m_store.set("outage", 1);
        runFor(wait / 2);
        m_store.put("keyed.op", "config", std::to_string(lost));
        m_store.put("keyed.op", "other", std::to_string(lost));
        m_store.set("forget", 1);
        m_store.set("outage", 0);
        EXPECT_TRUE(m_loop.runUntil([&] { return m_listener.keys == 2 * lost + 2; }, wait * 4)) << lost;
    }
    const size_t before = m_store.calls();
    runFor(wait * 2);
    EXPECT_LE(m_store.calls() - before, 4U);
}

} // namespace pollen
