#include "relay_fixture.h"

namespace pollen {

namespace {

// A change must be in force within this time.
constexpr duration configurationLimit = std::chrono::seconds(2);
// How soon servers repeat their entries after the store's return, and when the store has removed those of dead ones.
constexpr duration repeatTime = std::chrono::seconds(2);
constexpr duration lapseTime = std::chrono::seconds(8);
constexpr duration outage = std::chrono::milliseconds(300);

// Four daemons in two failure domains before two servers of one service. The store comes back from a copy.
class StoreRestoredTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_store.put("keyed.op", "config", configuration(1, R"("key","old")"));
        m_store.put("keyed.servers", "s1", serverEntry("desk", m_first.address()));
        m_store.put("keyed.servers", "s2", serverEntry("desk", m_second.address()));
    }

    void startDaemons()
    {
        for (const char* id : { "a1", "a2", "b1", "b2" })
            startDaemon(id);
    }

    void startDaemon(const std::string& id)
    {
        m_daemons.push_back(
            std::make_unique<fleet_daemon>(m_loop, m_log, m_time, m_store, id.c_str(), id.substr(0, 1).c_str()));
        fleet_daemon& daemon = *m_daemons.back();
        ASSERT_TRUE(m_loop.runUntil([&] { return daemon.relay().gateway().ready(); }, patience));
    }

    void runFor(duration span)
    {
        const time_point end = m_time.now() + span;
        m_loop.runUntil([&] { return m_time.now() >= end; }, span * 2);
    }

    bool runUntil(const std::function<bool()>& done, duration limit) { return m_loop.runUntil(done, limit); }

    bool allHave(uint64_t version)
    {
        return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const auto& daemon) {
            return daemon->relay().state().configuration()->configuration().version == version;
        });
    }

    void change(int version, const std::string& keys = "\"key\"")
    {
        m_store.put("keyed.op", "config", configuration(version, keys));
        ASSERT_TRUE(runUntil([&] { return allHave(static_cast<uint64_t>(version)); }, configurationLimit)) << version;
    }

    // The store goes away and comes back from the copy. The callback writes what is written before any daemon looks.
    void restore(const std::function<void()>& writtenMeanwhile = [] {})
    {
        m_store.set("outage", 1);
        runFor(outage);
        m_store.set("restore", 1);
        writtenMeanwhile();
        m_store.set("outage", 0);
    }

    // The status of a request to a daemon.
    int ask(fleet_daemon& daemon, const char* key = "key")
    {
        const http_request message { "GET", "/r/x",
            { { "Host", "h.example" }, { "Pollenroute-Request-Id", "id-" + std::to_string(++m_asked) },
                { "Pollenroute-Deadline-Ms", "1500" }, { "Pollenroute-Key", key } },
            "" };
        int status = 0;
        m_caller.fetch(daemon.address(), message, {},
            [&](const exchange_result&, const http_response& response) { status = response.status; });
        EXPECT_TRUE(runUntil([&] { return status != 0; }, patience));
        return status;
    }

    // Requests that reach a server while all daemons are asked in turn.
    size_t reaching(const backend_standin& server, duration span)
    {
        const size_t before = server.requests().size();
        const time_point end = m_time.now() + span;
        while (m_time.now() < end) {
            for (const auto& daemon : m_daemons)
                ask(*daemon);
            runFor(std::chrono::milliseconds(20));
        }
        return server.requests().size() - before;
    }

    event_loop m_loop;
    null_logger m_log;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    backend_standin m_first { m_loop, { answers(200, "one") } };
    backend_standin m_second { m_loop, { answers(200, "two") } };
    http_client m_caller { m_loop };
    std::vector<std::unique_ptr<fleet_daemon>> m_daemons;
    size_t m_asked = 0;
};

} // namespace

// Guards against CONFIG: positions of the lost history were compared with those that the store gave out again, so that
// a change after the restore was ignored.
TEST_F(StoreRestoredTest, AChangeAfterTheRestoreIsInForceInTime)
{
    startDaemons();
    m_store.set("copy", 1);
    for (const int version : { 2, 3, 4 })
        change(version);
    restore();
    runFor(std::chrono::milliseconds(500));
    m_store.put("keyed.op", "config", configuration(4));
    change(5);
    change(6);
}

// Guards against CONFIG: the end of the restored log lay at the known position, so that no read failed, and the records
// before it were never read. Only the header tells.
TEST_F(StoreRestoredTest, ARestoreThatEndsAtTheKnownPositionIsNoticed)
{
    startDaemons();
    m_store.set("copy", 1);
    for (const int version : { 2, 3, 4 })
        change(version);
    restore([&] {
        for (const int version : { 4, 5, 6 })
            m_store.put("keyed.op", "config", configuration(version));
    });
    EXPECT_TRUE(runUntil([&] { return allHave(6); }, configurationLimit));
    change(7);
}

// Guards against CONFIG: a key that was taken away works again, at a daemon that goes on or at one that starts before
// the operators have repeated their record.
TEST_F(StoreRestoredTest, AnOlderCopyBringsNoKeyBack)
{
    startDaemons();
    m_store.set("copy", 1);
    change(2);
    restore();
    runFor(std::chrono::milliseconds(300));
    startDaemon("a3");
    startDaemon("c1");
    const time_point end = m_time.now() + repeatTime;
    while (m_time.now() < end) {
        for (const auto& daemon : m_daemons) {
            EXPECT_EQ(ask(*daemon, "old"), 401);
            EXPECT_EQ(ask(*daemon), 200);
        }
        runFor(std::chrono::milliseconds(100));
    }
}

TEST_F(StoreRestoredTest, SeveralRestoresInARow)
{
    startDaemons();
    m_store.set("copy", 1);
    change(2);
    change(3);
    for (int version = 4; version < 7; ++version) {
        restore();
        runFor(std::chrono::milliseconds(200));
        change(version);
        for (const auto& daemon : m_daemons)
            EXPECT_EQ(ask(*daemon, "old"), 401) << version;
    }
}

// Guards against DRAIN: the copy shows a server as ready that has left since.
TEST_F(StoreRestoredTest, AServerThatHasLeftIsNotUsedAgain)
{
    for (const bool isRemoved : { false, true }) {
        startDaemons();
        ASSERT_GT(reaching(m_second, std::chrono::milliseconds(300)), 0U);
        m_store.set("copy", 1);
        m_store.put("keyed.servers", "s2",
            isRemoved ? std::nullopt : std::optional(serverEntry("desk", m_second.address(), "draining")));
        runFor(std::chrono::milliseconds(1200));
        ASSERT_EQ(reaching(m_second, std::chrono::milliseconds(300)), 0U);
        restore();
        EXPECT_EQ(reaching(m_second, repeatTime), 0U) << isRemoved;
        startDaemon("a3");
        EXPECT_EQ(reaching(m_second, std::chrono::milliseconds(300)), 0U) << "by a daemon that has just started";
        m_daemons.clear();
        m_store.put("keyed.servers", "s2", serverEntry("desk", m_second.address()));
    }
}

// Guards against servers without work: one that registered in the lost part of the log stays in use, and repeats its
// entry where another record stood before.
TEST_F(StoreRestoredTest, AServerThatRepeatsItsEntryStaysInUse)
{
    backend_standin third(m_loop, { answers(200, "three") });
    startDaemons();
    m_store.set("copy", 1);
    m_store.put("keyed.servers", "gone", serverEntry("desk", m_first.address(), "draining"));
    m_store.put("keyed.servers", "s3", serverEntry("desk", third.address()));
    runFor(std::chrono::milliseconds(1200));
    ASSERT_GT(reaching(third, std::chrono::milliseconds(300)), 0U);
    restore([&] { m_store.put("keyed.servers", "s3", serverEntry("desk", third.address())); });
    const time_point end = m_time.now() + lapseTime;
    while (m_time.now() < end)
        EXPECT_GT(reaching(third, std::chrono::milliseconds(500)), 0U);
}

// Guards against servers without work: an entry that was first written after the restore, at an offset that the daemons
// already know, cannot be told from one of the copy. It counts once the store would have removed it.
TEST_F(StoreRestoredTest, AServerThatRegistersBeforeTheDaemonsLookIsUsed)
{
    backend_standin third(m_loop, { answers(200, "three") });
    startDaemons();
    m_store.set("copy", 1);
    m_store.put("keyed.servers", "s2", serverEntry("desk", m_second.address(), "draining"));
    m_store.put("keyed.servers", "gone", serverEntry("desk", m_first.address(), "draining"));
    runFor(std::chrono::milliseconds(1200));
    restore([&] { m_store.put("keyed.servers", "s3", serverEntry("desk", third.address())); });
    runFor(lapseTime);
    EXPECT_GT(reaching(third, std::chrono::milliseconds(300)), 0U);
}

// Guards against a roll-out that begins again, and daemons that do not know each other any more.
TEST_F(StoreRestoredTest, WhatTheDaemonsWroteIsWrittenAgain)
{
    m_store.set("copy", 1);
    const std::string status = R"({"service":"desk","target":"v2","state":"complete"})";
    m_store.put("keyed.status", "rollout/desk", status);
    startDaemons();
    runFor(std::chrono::milliseconds(1500));
    restore();
    EXPECT_TRUE(runUntil(
        [&] {
            return m_store.newest("keyed.status", "rollout/desk") && m_store.newest("keyed.daemons", "a1")
                && m_store.newest("keyed.daemons", "a2") && m_store.newest("keyed.daemons", "b1")
                && m_store.newest("keyed.daemons", "b2");
        },
        std::chrono::seconds(4)));
    EXPECT_EQ(m_store.newest("keyed.status", "rollout/desk"), status);
}

} // namespace pollen
