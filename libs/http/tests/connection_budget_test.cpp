#include <gtest/gtest.h>
#include <http/connection_budget.h>
#include <memory>
#include <vector>

namespace pollen {

namespace {

constexpr size_t kilobyte = 1024;
constexpr size_t megabyte = 1024 * kilobyte;

// A connection that gives up what it holds when it is told to.
class fake_connection final : public limited_connection {
public:
    explicit fake_connection(connection_budget& budget)
        : account(std::make_unique<connection_budget::account>(budget, *this))
    {
    }
    void refuseUnfinished() override
    {
        refused = true;
        account->holdRequest(0);
        account->setIdle();
    }
    void closeAtLimit() override { account.reset(); }

    bool refused = false;
    std::unique_ptr<connection_budget::account> account;
};

class ConnectionBudgetTest : public testing::Test {
protected:
    fake_connection& connect()
    {
        m_connections.push_back(std::make_unique<fake_connection>(m_budget));
        return *m_connections.back();
    }
    fake_connection& receive(size_t bytes)
    {
        fake_connection& connection = connect();
        connection.account->setReceiving();
        connection.account->holdRequest(bytes);
        return connection;
    }

    manual_clock m_time;
    connection_budget m_budget { { 3, 4 * megabyte, megabyte }, m_time };
    std::vector<std::unique_ptr<fake_connection>> m_connections;
};

} // namespace

// Guards against an ordinary body of the configuration's size that the smallest machine always refuses.
TEST(ConnectionLimits, OneLargestRequestFitsOnTheSmallestMachine)
{
    const size_t largestBody = 4 * megabyte;
    manual_clock time;
    connection_budget budget(deriveConnectionLimits(88 * megabyte, 3075, largestBody), time);
    fake_connection connection(budget);
    EXPECT_TRUE(connection.account->holdRequest((largestBody + 16 * kilobyte) * copiesOfRunningRequest));
    EXPECT_EQ(budget.limits().maximumConnections, 1309U);
    EXPECT_EQ(deriveConnectionLimits(88 * megabyte, 100, largestBody).maximumConnections, 16U);
    EXPECT_EQ(deriveConnectionLimits(88 * megabyte, 10250, largestBody).maximumConnections, 1408U);
}

// Guards against large bodies that are held open and keep small requests out.
TEST_F(ConnectionBudgetTest, LargeRequestsLeaveRoomForSmallOnes)
{
    receive(3 * megabyte);
    EXPECT_FALSE(connect().account->holdRequest(100 * kilobyte));
    EXPECT_TRUE(connect().account->holdRequest(60 * kilobyte));
    EXPECT_EQ(m_budget.requestBytes(), 3 * megabyte + 60 * kilobyte);
    EXPECT_EQ(m_budget.count(limit_action::RequestRefused), 1U);
}

// Guards against a crowd of small requests that keeps the smallest ones out.
TEST_F(ConnectionBudgetTest, TheSmallestRequestsCountAsPartOfTheirConnection)
{
    EXPECT_FALSE(connect().account->holdReadAhead(5 * megabyte));
    EXPECT_TRUE(connect().account->holdRequest(connection_budget::includedBytes));
    EXPECT_FALSE(connect().account->holdRequest(connection_budget::includedBytes + 1));
}

// Guards against bodies that stop short of their end and hold the memory until their time-out, and against uploads
// that displace each other so that none completes.
TEST_F(ConnectionBudgetTest, OnlyARequestWithoutProgressMakesWay)
{
    fake_connection& stalled = receive(megabyte);
    fake_connection& active = receive(2 * megabyte);
    fake_connection& late = receive(0);
    EXPECT_FALSE(late.account->holdRequest(megabyte));
    m_time.advance(connection_budget::stallTime);
    active.account->recordReceived(connection_budget::progressBytes);
    stalled.account->recordReceived(connection_budget::progressBytes - 1);
    EXPECT_TRUE(late.account->holdRequest(megabyte));
    EXPECT_TRUE(stalled.refused);
    EXPECT_FALSE(active.refused);
    active.account->setRunning();
    m_time.advance(connection_budget::stallTime);
    EXPECT_FALSE(receive(0).account->holdRequest(megabyte) && active.refused);
    EXPECT_FALSE(active.refused) << "a request that runs is not refused";
}

// Guards against idle callers, or heads that never end, that use up the descriptors.
TEST_F(ConnectionBudgetTest, ANewConnectionDisplacesTheLongestIdleOne)
{
    fake_connection& first = connect();
    fake_connection& second = connect();
    fake_connection& third = connect();
    first.account->setRunning();
    first.account->setIdle();
    EXPECT_TRUE(m_budget.admit());
    EXPECT_FALSE(second.account);
    fake_connection& fourth = connect();
    for (fake_connection* connection : { &third, &first, &fourth })
        connection->account->setReceiving();
    EXPECT_FALSE(m_budget.admit());
    m_time.advance(connection_budget::stallTime);
    EXPECT_TRUE(m_budget.admit());
    EXPECT_FALSE(third.account);
    EXPECT_TRUE(first.account && fourth.account);
}

// Guards against responses that are not read and use up the memory.
TEST_F(ConnectionBudgetTest, CallersThatDoNotReadAreClosedFirst)
{
    fake_connection& stalled = connect();
    fake_connection& reader = connect();
    reader.account->holdResponse(600 * kilobyte, false);
    stalled.account->holdResponse(500 * kilobyte, false);
    reader.account->holdResponse(550 * kilobyte, true);
    EXPECT_TRUE(m_budget.responsesExceedLimit());
    m_budget.closeStalledReaders();
    EXPECT_FALSE(stalled.account);
    EXPECT_TRUE(reader.account);
    EXPECT_EQ(m_budget.responseBytes(), 550 * kilobyte);
}

// Guards against callers that are refused because they sent the first bytes of a head a second ago, although this frees
// no memory.
TEST_F(ConnectionBudgetTest, ARequestThatHoldsNothingIsNotRefusedForItsBytes)
{
    fake_connection& small = receive(100);
    fake_connection& stalled = receive(3 * megabyte);
    m_time.advance(connection_budget::stallTime);
    EXPECT_TRUE(receive(0).account->holdRequest(megabyte));
    EXPECT_TRUE(stalled.refused);
    EXPECT_FALSE(small.refused);
}

// Guards against a response that is cut because it waits in the output while its caller reads it.
TEST_F(ConnectionBudgetTest, AConnectionIsIdleOnceItsResponseHasBeenRead)
{
    fake_connection& reader = connect();
    fake_connection& second = connect();
    fake_connection& third = connect();
    reader.account->holdResponse(2 * kilobyte, false);
    reader.account->setIdle();
    second.account->setRunning();
    third.account->setRunning();
    ASSERT_FALSE(m_budget.admit());
    m_time.advance(connection_budget::stallTime);
    reader.account->holdResponse(kilobyte, true);
    ASSERT_FALSE(m_budget.admit()) << "the caller has just read";
    m_time.advance(connection_budget::stallTime);
    ASSERT_TRUE(m_budget.admit()) << "the caller has stopped reading";
    EXPECT_FALSE(reader.account);
    fake_connection& fourth = connect();
    fourth.account->holdResponse(kilobyte, false);
    fourth.account->setIdle();
    fourth.account->holdResponse(0, true);
    ASSERT_TRUE(m_budget.admit()) << "the response has been read";
    EXPECT_FALSE(fourth.account);
}

} // namespace pollen
