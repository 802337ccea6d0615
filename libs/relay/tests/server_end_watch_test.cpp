#include <base/json_logger.h>
#include <gtest/gtest.h>
#include <relay/server_end_watch.h>

namespace pollen {

namespace {

constexpr uint64_t killer = 1;

// Answers when the test says so.
class fake_probe final : public reachability_probe {
public:
    void startProbe(const endpoint&, duration, callback done) override { m_waiting.push_back(std::move(done)); }

    void answer(probe_result result)
    {
        for (const callback& done : std::exchange(m_waiting, {}))
            done(result);
    }

private:
    std::vector<callback> m_waiting;
};

class ServerEndWatchTest : public testing::Test {
protected:
    ServerEndWatchTest()
    {
        m_time.advance(std::chrono::hours(1));
        list({ "i-1", "i-2", "i-3" });
    }

    void list(const std::vector<std::string>& ids, int64_t started = 5)
    {
        std::vector<listed_server> servers;
        for (const std::string& id : ids) {
            listed_server server;
            server.entry.id = instance_id(id);
            server.started = started;
            servers.push_back(server);
        }
        m_state.servers().replaceListed(servers);
    }

    void suspect(const char* server)
    {
        m_watch.suspect({ killer, request_id("r"), instance_id(server), { "127.0.0.1", 1 }, service_name("s"),
            "connection_lost", 5 });
    }

    // The view of the servers stays fresh unless the store is away.
    void run(duration span, bool storeAway = false)
    {
        for (duration passed { 0 }; passed < span; passed += std::chrono::milliseconds(50)) {
            m_time.advance(std::chrono::milliseconds(50));
            if (!storeAway)
                m_state.setConfigurationKnown(m_time.now());
            m_watch.tick(m_time.now());
        }
    }

    size_t ends() const { return m_table.countEnds(killer); }

    manual_clock m_time;
    null_logger m_log;
    log_budget m_budget { 50 };
    relay_metrics m_metrics;
    relay_state m_state { std::nullopt };
    crash_table m_table { instance_id("d") };
    fake_probe m_probe;
    server_end_watch m_watch { m_table, m_state, m_probe, m_metrics, m_budget, m_time, m_log };
};

} // namespace

TEST_F(ServerEndWatchTest, CountsAServerWhoseAddressRefusesConnectionsAndNoOther)
{
    suspect("i-1");
    EXPECT_EQ(ends(), 0U);
    m_probe.answer(probe_result::Refused);
    EXPECT_EQ(ends(), 1U);
    suspect("i-2");
    m_probe.answer(probe_result::Accepted);
    EXPECT_EQ(ends(), 1U);
    suspect("i-3");
    m_probe.answer(probe_result::Unreachable);
    EXPECT_EQ(ends(), 1U) << "the network may be cut";
}

// Guards against BUDGET: servers whose instances lost power under a request were not counted.
TEST_F(ServerEndWatchTest, ASilentServerHasEndedOnceItsEntryGoes)
{
    for (const char* server : { "i-1", "i-2" })
        suspect(server);
    m_probe.answer(probe_result::Unreachable);
    run(std::chrono::seconds(4));
    EXPECT_EQ(ends(), 0U);
    list({ "i-2", "i-3" });
    run(std::chrono::seconds(1));
    EXPECT_EQ(ends(), 1U);
    run(std::chrono::seconds(20));
    list({ "i-3" });
    run(std::chrono::seconds(1));
    EXPECT_EQ(ends(), 1U) << "the entry stood for too long: the network was cut";
}

TEST_F(ServerEndWatchTest, ASilentServerThatStartedAgainHasEnded)
{
    suspect("i-1");
    m_probe.answer(probe_result::Unreachable);
    list({ "i-1", "i-2", "i-3" }, 6);
    run(std::chrono::seconds(1));
    EXPECT_EQ(ends(), 1U);
}

// Pattern: a firewall refuses connections across a cut, and the servers behind it go on.
TEST_F(ServerEndWatchTest, AnEndIsWithdrawnWhenTheEntryStands)
{
    for (const char* server : { "i-1", "i-2", "i-3" })
        suspect(server);
    m_probe.answer(probe_result::Refused);
    EXPECT_TRUE(m_watch.mayNotRunAgain(killer));
    run(std::chrono::seconds(9));
    EXPECT_TRUE(m_watch.mayNotRunAgain(killer));
    run(std::chrono::seconds(2));
    EXPECT_FALSE(m_watch.mayNotRunAgain(killer));
}

TEST_F(ServerEndWatchTest, NothingIsWithdrawnByAViewThatIsOld)
{
    suspect("i-1");
    m_probe.answer(probe_result::Refused);
    run(std::chrono::seconds(30), true);
    EXPECT_EQ(ends(), 1U);
    list({ "i-2", "i-3" });
    run(std::chrono::seconds(1));
    EXPECT_EQ(ends(), 1U);
}

TEST_F(ServerEndWatchTest, SuspicionsCountForTheRequestThatIsRunning)
{
    suspect("i-1");
    suspect("i-1");
    suspect("i-2");
    EXPECT_FALSE(m_watch.mayNotRunAgain(killer)) << "two servers";
    suspect("i-3");
    EXPECT_TRUE(m_watch.mayNotRunAgain(killer));
    m_table.addAnswer(killer, m_time.wallMilliseconds());
    EXPECT_FALSE(m_watch.mayNotRunAgain(killer)) << "it has just been answered elsewhere";
}

} // namespace pollen
