#include <gtest/gtest.h>
#include <scheduling/server_rate_limits.h>

namespace pollen {

namespace {

const instance_id server("s");
const time_point start { std::chrono::seconds(1000) };
constexpr duration second = std::chrono::seconds(1);

} // namespace

class ServerRateLimitsTest : public testing::Test {
protected:
    random_source m_random { 1 };
    server_rate_limits m_limits { m_random };
    server_rate_limits m_others { m_random };
};

TEST_F(ServerRateLimitsTest, ALimitIsInForceUntilALaterRequestIsAnsweredWithoutOne)
{
    EXPECT_FALSE(m_limits.recordAnswer(server, std::nullopt, start, start));
    EXPECT_TRUE(m_limits.recordAnswer(server, 1.1, start, start + second));
    EXPECT_FALSE(m_limits.recordAnswer(server, 1.1, start, start + second));
    EXPECT_TRUE(m_limits.recordAnswer(server, 1.3, start, start + second));
    EXPECT_EQ(m_limits.find(server), 1.3);
    EXPECT_TRUE(m_limits.recordAnswer(server, std::nullopt, start + 2 * second, start + 3 * second));
    EXPECT_EQ(m_limits.find(server), std::nullopt);
}

// Guards against LIMIT: a long answer that began before the server named its limit must not end it.
TEST_F(ServerRateLimitsTest, AnAnswerToAnEarlierRequestDoesNotEndALimit)
{
    m_limits.recordAnswer(server, 1.1, start + second, start + 2 * second);
    EXPECT_FALSE(m_limits.recordAnswer(server, std::nullopt, start, start + 3 * second));
    EXPECT_EQ(m_limits.find(server), 1.1);
}

TEST_F(ServerRateLimitsTest, TheNewestStatementOfAnyDaemonCounts)
{
    m_limits.recordAnswer(server, 1.1, start, start);
    m_others.recordAnswer(server, 2, start, start + second);
    const auto notices = m_others.notices(start + 2 * second);
    ASSERT_EQ(notices.size(), 1U);
    EXPECT_TRUE(m_limits.merge(notices[0], start + 2 * second));
    EXPECT_EQ(m_limits.find(server), 2);
    m_others.recordAnswer(server, std::nullopt, start + 2 * second, start + 3 * second);
    EXPECT_TRUE(m_limits.merge(m_others.notices(start + 4 * second)[0], start + 4 * second));
    EXPECT_EQ(m_limits.find(server), std::nullopt);
}

// Guards against a limit that never ends because daemons keep telling it each other: each time on the way makes it look
// newer.
TEST_F(ServerRateLimitsTest, AStatementThatComesBackDoesNotBecomeNewer)
{
    m_limits.recordAnswer(server, 1.1, start, start);
    m_others.merge(m_limits.notices(start)[0], start + second);
    EXPECT_FALSE(m_limits.merge(m_others.notices(start + second)[0], start + 3 * second));
    EXPECT_TRUE(m_limits.recordAnswer(server, std::nullopt, start + second, start + 2 * second));
}

TEST_F(ServerRateLimitsTest, ForgetsServersThatAreGoneAndKeepsThoseThatAreListed)
{
    server_table servers;
    listed_server listed;
    listed.entry.id = server;
    servers.replaceListed({ listed });
    m_limits.recordAnswer(server, 1.1, start, start);
    m_limits.recordAnswer(instance_id("gone"), 1.1, start, start);
    m_limits.removeExpired(servers, start + 600 * second);
    EXPECT_EQ(m_limits.find(server), 1.1);
    EXPECT_EQ(m_limits.find(instance_id("gone")), std::nullopt);
}

} // namespace pollen
