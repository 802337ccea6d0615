#include <deque>
#include <gtest/gtest.h>
#include <scheduling/permit_allocator.h>

namespace pollen {

namespace {

const instance_id server("s");
const service_name service("engines");
const time_point start { std::chrono::seconds(1000) };
// The figures of a fleet's data sheet: 5.6 requests a second, and in any second at most 1.5 times that and five more.
constexpr double coldRate = 5.6;
constexpr double allowedInSecond = coldRate * 1.5 + 5;
const warm_up_rule rule { std::chrono::seconds(3), coldRate, 3.9 };

duration ms(int64_t count) { return std::chrono::milliseconds(count); }

class WarmUpTableTest : public testing::Test {
protected:
    WarmUpTableTest() { m_table.setRules({ { service, rule } }); }

    bool isColdAt(duration after)
    {
        m_table.removeWarm(start + after);
        return m_table.find(server).has_value();
    }

    random_source m_random { 1 };
    warm_up_table m_table { m_random };
};

} // namespace

// Guards against servers that are cold for longer or shorter than the newest statement says, and against statements
// that exceed what the service allows.
TEST_F(WarmUpTableTest, TheNewestStatementCounts)
{
    m_table.recordEntry(server, service, ms(2000), start);
    EXPECT_TRUE(isColdAt(ms(1900)));
    EXPECT_FALSE(isColdAt(ms(2000)));
    m_table.recordEntry(server, service, ms(3600000), start);
    EXPECT_TRUE(isColdAt(ms(2900)));
    EXPECT_FALSE(isColdAt(ms(3000)));
    EXPECT_TRUE(m_table.recordAnswer(server, service, ms(1000), start + ms(5000)));
    EXPECT_TRUE(isColdAt(ms(5500)));
    EXPECT_TRUE(m_table.recordAnswer(server, service, ms(0), start + ms(5600)));
    EXPECT_FALSE(isColdAt(ms(5600)));
    EXPECT_FALSE(m_table.recordAnswer(server, service, ms(0), start + ms(5700)));
}

// Guards against a daemon that starts and takes servers of unknown state for warm ones, and against servers that become
// cold again because a later entry states nothing.
TEST_F(WarmUpTableTest, AnUnknownServerIsColdAndAKnownOneStaysAsItIs)
{
    m_table.recordEntry(server, service, std::nullopt, start);
    EXPECT_TRUE(isColdAt(ms(2900)));
    m_table.recordEntry(server, service, ms(0), start + ms(2950));
    m_table.recordEntry(server, service, std::nullopt, start + ms(3000));
    EXPECT_FALSE(isColdAt(ms(3000)));
}

// Guards against engines that fall over after a restart under their old id: the entry still says that they are warm.
TEST_F(WarmUpTableTest, AServerThatHasRefusedConnectionsIsColdFromItsNextAnswer)
{
    m_table.recordEntry(server, service, ms(0), start);
    m_table.recordRefusedConnection(server, service, start);
    EXPECT_TRUE(isColdAt(ms(20000)));
    m_table.recordReachable(server, start + ms(20000));
    EXPECT_TRUE(isColdAt(ms(22900)));
    EXPECT_FALSE(isColdAt(ms(23000)));
}

// Guards against fleets in which one daemon knows of a cold server and the others send to it freely, and against
// statements that come back from another daemon and keep a server cold forever.
TEST_F(WarmUpTableTest, NoticesReachOtherDaemonsOnceAndNewerStatementsWin)
{
    warm_up_table other(m_random);
    other.setRules({ { service, rule } });
    m_table.recordAnswer(server, service, ms(2000), start);
    ASSERT_EQ(m_table.notices(start + ms(100)).size(), 1U);
    other.merge(m_table.notices(start + ms(100)).front(), start + ms(100));
    EXPECT_TRUE(other.find(server));
    other.removeWarm(start + ms(2000));
    EXPECT_FALSE(other.find(server));
    // The server says that it is warm; the older notice does not bring the warm-up back.
    m_table.recordAnswer(server, service, ms(3000), start + ms(3000));
    const warm_up_notice late = m_table.notices(start + ms(3000)).front();
    other.recordEntry(server, service, ms(0), start + ms(3500));
    other.merge(late, start + ms(3000));
    EXPECT_FALSE(other.find(server));
    // Entries reach every daemon by themselves.
    other.recordEntry(server, service, ms(1000), start + ms(4000));
    EXPECT_TRUE(other.notices(start + ms(4000)).empty());
    EXPECT_EQ(other.noticesOf({ server }, start + ms(4000)).size(), 1U);
}

// Guards against servers that stay cold for as long as two allocators ask each other over slow links: each takes the
// other's copy of its own statement for a newer one, by the time on the way.
TEST_F(WarmUpTableTest, AStatementThatPassesBetweenAllocatorsDoesNotBecomeNewer)
{
    warm_up_table other(m_random);
    other.setRules({ { service, rule } });
    const duration delay = ms(50);
    m_table.recordEntry(server, service, std::nullopt, start);
    time_point now = start;
    const auto pass = [&](warm_up_table& from, warm_up_table& to) {
        from.removeWarm(now);
        const std::vector<warm_up_notice> notices = from.noticesOf({ server }, now);
        now += delay;
        for (const warm_up_notice& notice : notices)
            to.merge(notice, now);
    };
    while (now < start + rule.time + 4 * delay) {
        pass(m_table, other);
        pass(other, m_table);
    }
    EXPECT_FALSE(isColdAt(now - start));
}

// Guards against daemons that have not tried a server while it was down, and take it for warm once it is back.
TEST_F(WarmUpTableTest, AllDaemonsKnowOfAServerThatIsDownUntilItAnswers)
{
    warm_up_table other(m_random);
    other.setRules({ { service, rule } });
    m_table.recordEntry(server, service, ms(0), start);
    other.recordEntry(server, service, ms(0), start);
    m_table.recordRefusedConnection(server, service, start + ms(100));
    const auto tellOther = [&](duration after) {
        for (const warm_up_notice& notice : m_table.notices(start + after))
            other.merge(notice, start + after);
        other.removeWarm(start + after);
    };
    tellOther(ms(200));
    tellOther(ms(15000));
    EXPECT_TRUE(other.find(server)) << "warm while it is down";
    const warm_up_notice isDown = m_table.notices(start + ms(15000)).front();
    m_table.recordReachable(server, start + ms(15000));
    tellOther(ms(15200));
    EXPECT_TRUE(other.find(server));
    tellOther(ms(18200));
    EXPECT_FALSE(other.find(server));
    // A daemon that was cut off meanwhile still has the older statement.
    warm_up_notice late = isDown;
    late.age += ms(3300);
    other.merge(late, start + ms(18300));
    EXPECT_FALSE(other.find(server)) << "an older statement counts";
}

// Guards against entries that are read over several pages: the server is listed only after the last page.
TEST_F(WarmUpTableTest, AnEntryCountsBeforeTheServerIsListed)
{
    m_table.recordEntry(server, service, ms(3000), start);
    m_table.removeUnlisted(server_table());
    EXPECT_TRUE(isColdAt(ms(1000)));
    EXPECT_FALSE(isColdAt(ms(3000)));
    m_table.recordRefusedConnection(server, service, start + ms(3000));
    m_table.removeUnlisted(server_table());
    EXPECT_TRUE(m_table.empty()) << "kept for ever";
}

// Guards against warm servers that lose their part because their entry changes and states nothing on warm-up, and
// against a new process under the same id that is taken for the former one.
TEST_F(WarmUpTableTest, AnEntryWithoutAStatementChangesNothingUnlessTheProcessIsNew)
{
    server_table servers;
    listed_server listed;
    listed.entry.id = server;
    servers.replaceListed({ listed });
    m_table.recordEntry(server, service, ms(0), start, 1);
    EXPECT_FALSE(isColdAt(ms(20000)));
    m_table.removeUnlisted(servers);
    m_table.recordEntry(server, service, std::nullopt, start + ms(20000), 1);
    EXPECT_FALSE(isColdAt(ms(20000)));
    m_table.recordEntry(server, service, std::nullopt, start + ms(40000), 2);
    EXPECT_TRUE(isColdAt(ms(40000)));
}

// Guards against FAILBACK: an allocator that has just started and has no configuration yet granted permits for a cold
// server without a limit.
TEST(WarmUpRulesTest, WithoutRulesAColdServerGetsNoPermit)
{
    random_source random { 1 };
    server_rate_limits limits(random);
    limits.warmUps().recordEntry(server, service, ms(3000), start);
    permit_allocator allocator(failure_domain_name("a"), limits);
    allocator.setDomains({ failure_domain_name("a") });
    EXPECT_FALSE(allocator.take({ server }, start).server);
    EXPECT_FALSE(allocator.take({ server }, start + ms(2000)).server);
}

// Guards against limits in deployments whose configuration has no warm-up.
TEST_F(WarmUpTableTest, ServicesWithoutAWarmUpAreNeverCold)
{
    m_table.recordEntry(server, service_name("other"), ms(3000), start);
    m_table.recordRefusedConnection(server, service_name("other"), start);
    EXPECT_TRUE(m_table.empty());
}

// Guards against FAILBACK under a crest: every failure domain sends all that it may to a returning server, after an
// idle time as well.
TEST_F(WarmUpTableTest, AllDomainsTogetherStayWithinTheRateOfAColdServer)
{
    for (const size_t domains : { 1, 3, 4, 6, 12 }) {
        server_rate_limits limits(m_random);
        limits.warmUps().setRules({ { service, rule } });
        limits.warmUps().recordEntry(server, service, ms(3000), start);
        std::vector<failure_domain_name> names;
        for (size_t i = 0; i < domains; ++i)
            names.emplace_back("domain-" + std::to_string(i));
        std::vector<permit_allocator> allocators;
        for (const failure_domain_name& name : names) {
            allocators.emplace_back(name, limits);
            allocators.back().setDomains(names);
            allocators.back().take({ server }, start);
        }
        std::deque<time_point> second;
        size_t most = 0;
        size_t total = 0;
        for (time_point now = start + ms(500); now < start + ms(3000); now += ms(10)) {
            for (permit_allocator& allocator : allocators) {
                while (allocator.take({ server }, now).server) {
                    second.push_back(now);
                    ++total;
                }
            }
            while (!second.empty() && now - second.front() >= ms(1000))
                second.pop_front();
            most = std::max(most, second.size());
        }
        EXPECT_LE(static_cast<double>(most), allowedInSecond) << domains << " domains";
        EXPECT_GE(static_cast<double>(total), coldRate * 2) << domains << " domains: the rate is not used";
    }
}

// Guards against warm servers that get only the rate of cold ones each time that they write their entry: once a warm-up
// has passed, the server is no longer known, and an entry that states nothing or nothing readable counts as a new
// server.
TEST_F(WarmUpTableTest, AnEntryThatStatesNothingLeavesAWarmServerWarm)
{
    m_table.recordEntry(server, service, ms(1000), start);
    EXPECT_FALSE(isColdAt(ms(1000)));
    m_table.recordEntry(server, service, std::nullopt, start + ms(1500));
    EXPECT_FALSE(isColdAt(ms(1500))) << "the warm-up has passed";
    m_table.recordEntry(server, service, ms(0), start + ms(20000));
    EXPECT_FALSE(isColdAt(ms(40000)));
    m_table.recordEntry(server, service, std::nullopt, start + ms(40000));
    EXPECT_FALSE(isColdAt(ms(40000))) << "stated as warm long ago";
}

// Guards against permits without a limit for a server that returns after an outage that was longer than its warm-up:
// the daemon that asks knows it as unreachable, and the allocator, which never tried it, takes the notice for expired.
TEST_F(WarmUpTableTest, AnAllocatorLearnsOfAServerThatHasBeenUnreachableForLong)
{
    m_table.recordRefusedConnection(server, service, start);
    ASSERT_TRUE(isColdAt(ms(10000)));
    warm_up_table allocator(m_random);
    allocator.setRules({ { service, rule } });
    for (const warm_up_notice& notice : m_table.noticesOf({ server }, start + ms(10000)))
        allocator.merge(notice, start + ms(10000));
    EXPECT_TRUE(allocator.find(server));
}

// Guards against a cold server that names a limit just below its own rate and gets the larger burst of that limit.
TEST_F(WarmUpTableTest, ANamedLimitDoesNotRaiseTheBurstOfAColdServer)
{
    server_rate_limits limits(m_random);
    limits.warmUps().setRules({ { service, rule } });
    limits.warmUps().recordEntry(server, service, ms(3000), start);
    limits.recordAnswer(server, coldRate - 0.1, start, start);
    const auto limit = limits.limitOf(server);
    ASSERT_TRUE(limit);
    EXPECT_LE(limit->requestsPerSecond + limit->burst, allowedInSecond);
}

// Guards against a burst for each of the groups into which the daemons of a domain are cut: only the rate is divided
// among them.
TEST_F(WarmUpTableTest, TheGroupsOfADividedDomainShareItsBurst)
{
    server_rate_limits limits(m_random);
    limits.warmUps().setRules({ { service, rule } });
    limits.warmUps().recordRefusedConnection(server, service, start);
    constexpr size_t groups = 4;
    const failure_domain_name domain("a");
    std::vector<permit_allocator> allocators;
    for (size_t i = 0; i < groups; ++i) {
        allocators.emplace_back(domain, limits);
        allocators.back().setDomains({ domain });
        allocators.back().setPart(1.0 / groups, 1.0 / groups);
        allocators.back().take({ server }, start);
    }
    // The server returns after an outage that has let every bucket fill.
    const time_point full = start + ms(10000);
    size_t inSecond = 0;
    for (time_point now = full; now < full + ms(1000); now += ms(10)) {
        for (permit_allocator& allocator : allocators) {
            while (allocator.take({ server }, now).server)
                ++inSecond;
        }
    }
    EXPECT_LE(static_cast<double>(inSecond), allowedInSecond);
}

} // namespace pollen
