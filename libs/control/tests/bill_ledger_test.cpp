#include "control_fakes.h"

#include <config/configuration_record.h>
#include <gtest/gtest.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(10);
constexpr duration beyondPeerTimeout = std::chrono::seconds(5);

class BillLedgerTest : public testing::Test {
protected:
    std::unique_ptr<test_daemon> makeDaemon(const std::string& name, uint16_t number, uint64_t incarnation = 1)
    {
        return std::make_unique<test_daemon>(m_loop, m_network, m_log, m_clock, name, number, incarnation);
    }

    void exchangeHeartbeats(test_daemon& left, test_daemon& right)
    {
        left.peers.replaceListed({ { right.node.self().id, right.node.self().failureDomain, m_addresses[&right] } });
        right.peers.replaceListed({ { left.node.self().id, left.node.self().failureDomain, m_addresses[&left] } });
        left.node.sendHeartbeats();
        right.node.sendHeartbeats();
        runLoop();
    }

    void SetUp() override
    {
        m_a = makeDaemon("a", 1);
        m_b = makeDaemon("b", 2);
        m_addresses[m_a.get()] = { "127.0.0.1", 1 };
        m_addresses[m_b.get()] = { "127.0.0.1", 2 };
        exchangeHeartbeats(*m_a, *m_b);
    }

    void runLoop()
    {
        m_loop.runUntil([] { return false; }, std::chrono::milliseconds(5));
    }

    // Advances the clock and runs the daemon's periodic work.
    void tick(test_daemon& daemon, duration elapsed = std::chrono::seconds(5))
    {
        m_clock.advance(elapsed);
        daemon.bills.tick(m_clock.now());
        runLoop();
    }

    // Ids of all bill records in the log, including duplicates.
    std::vector<std::string> logged()
    {
        std::vector<std::string> ids;
        bool done = false;
        m_log.read(billStream, 1, duration(0), [&](const read_result& result) {
            for (const log_record& record : result.records)
                ids.push_back(decodeBill(record.value).id);
            done = true;
        });
        m_loop.runUntil([&] { return done; }, testTimeout);
        return ids;
    }

    static bill makeBill(const std::string& id)
    {
        bill result;
        result.id = id;
        return result;
    }

    bool record(test_daemon& daemon, const std::string& id)
    {
        bool safe = false;
        daemon.bills.record(makeBill(id), [&] { safe = true; });
        m_loop.runUntil([&] { return safe; }, std::chrono::milliseconds(50));
        return safe;
    }

    event_loop m_loop;
    manual_clock m_clock;
    memory_record_log m_log { m_loop, m_clock, 1000 };
    memory_network m_network { m_loop };
    std::map<test_daemon*, endpoint> m_addresses;
    std::unique_ptr<test_daemon> m_a;
    std::unique_ptr<test_daemon> m_b;
};

using ids = std::vector<std::string>;

} // namespace

TEST_F(BillLedgerTest, PeerHoldsBillUntilAppended)
{
    EXPECT_TRUE(record(*m_a, "x"));
    EXPECT_EQ(m_b->bills.heldBills(), 1U);
    EXPECT_EQ(m_a->bills.unreplicatedBills(), 0U);
    tick(*m_a);
    EXPECT_EQ(logged(), ids { "x" });
    EXPECT_TRUE(m_a->bills.isFlushed());
    EXPECT_EQ(m_b->bills.heldBills(), 0U);
}

TEST_F(BillLedgerTest, PeerWritesBillOfCrashedDaemon)
{
    EXPECT_TRUE(record(*m_a, "x"));
    m_a.reset();
    m_b->bills.tick(m_clock.now());
    EXPECT_EQ(m_b->bills.heldBills(), 1U) << "the copy must not be appended before the daemon counts as crashed";
    tick(*m_b, beyondPeerTimeout);
    tick(*m_b);
    EXPECT_EQ(logged(), ids { "x" });
}

TEST_F(BillLedgerTest, PeerWritesBillOfRestartedDaemonImmediately)
{
    EXPECT_TRUE(record(*m_a, "x"));
    m_a.reset();
    m_a = makeDaemon("a", 1, 2);
    m_addresses[m_a.get()] = { "127.0.0.1", 1 };
    exchangeHeartbeats(*m_a, *m_b);
    m_b->bills.tick(m_clock.now());
    runLoop();
    EXPECT_EQ(logged(), ids { "x" });
}

TEST_F(BillLedgerTest, PausedDaemonAndPeerWriteBillWithSameId)
{
    EXPECT_TRUE(record(*m_a, "x"));
    tick(*m_b, beyondPeerTimeout);
    tick(*m_b);
    tick(*m_a);
    EXPECT_EQ(logged(), (ids { "x", "x" })) << "readers count records with equal ids once";
}

TEST_F(BillLedgerTest, AppendFaultsLoseNoBill)
{
    struct row {
        append_fault fault;
        ids expected;
    };
    for (const row& row : { row { append_fault::Refused, { "x" } }, row { append_fault::RequestLost, { "x" } },
             row { append_fault::AnswerLost, { "x", "x" } } }) {
        SetUp();
        const size_t before = logged().size();
        m_a->log.faults = { row.fault };
        EXPECT_TRUE(record(*m_a, "x"));
        tick(*m_a);
        EXPECT_FALSE(m_a->bills.isFlushed());
        tick(*m_a);
        EXPECT_TRUE(m_a->bills.isFlushed());
        EXPECT_EQ(logged().size() - before, row.expected.size());
    }
}

TEST_F(BillLedgerTest, ReplicationEndsWhenNoPeerAnswers)
{
    m_b->transport.isDisconnected = true;
    bool safe = false;
    m_a->bills.record(makeBill("x"), [&] { safe = true; });
    for (int i = 0; i < 20 && !safe; ++i) {
        m_clock.advance(std::chrono::milliseconds(10));
        runLoop();
    }
    EXPECT_TRUE(safe);
    EXPECT_EQ(m_a->bills.unreplicatedBills(), 1U);
    tick(*m_a);
    EXPECT_EQ(logged(), ids { "x" });
}

TEST_F(BillLedgerTest, FlushIntervalGrowsWithFleetSize)
{
    std::vector<listed_peer> many(359);
    for (size_t i = 0; i < many.size(); ++i)
        many[i] = { instance_id("peer-" + std::to_string(i)), failure_domain_name("x"), { "127.0.0.1", 9 } };
    m_a->peers.replaceListed(many);
    tick(*m_a);
    for (int second = 0; second < 60; ++second) {
        m_a->bills.record(makeBill(std::to_string(second)), [] {});
        tick(*m_a, std::chrono::seconds(1));
    }
    // 100 appends per second shared by 360 daemons allow each one 17 per minute.
    EXPECT_LE(m_a->log.appends, 17U);
    EXPECT_GE(logged().size(), 50U);
}

TEST_F(BillLedgerTest, OutboxIsBoundedDuringLogOutage)
{
    m_a->log.defaultFault = append_fault::Refused;
    m_b->transport.isDisconnected = true;
    m_clock.advance(beyondPeerTimeout);
    size_t taken = 0;
    while (!m_a->bills.isFull() && taken < 1000000)
        m_a->bills.record(makeBill(std::to_string(taken++)), [] {});
    EXPECT_LT(taken, 100000U);
    tick(*m_a);
    EXPECT_TRUE(m_a->bills.isFull());
    m_a->log.defaultFault = append_fault::None;
    tick(*m_a);
    EXPECT_FALSE(m_a->bills.isFull());
}

TEST(Bill, RoundTripsAndRejectsInvalidText)
{
    const bill original { "b", request_id("r"), team_name("t\""), class_name("c"), "m/v", 1, 2, 0.25, 9 };
    EXPECT_EQ(decodeBill(encodeBill(original)), original);
    for (const char* text : { "", "{}", "[1]", "{\"id\":1}" })
        EXPECT_THROW(decodeBill(text), record_error) << text;
}

} // namespace pollen
