#include <base/json_logger.h>
#include <gtest/gtest.h>
#include <relay/crash_detector.h>

namespace pollen {

namespace {

constexpr uint64_t crashingRequest = 1;

// Reports results on request of the test.
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

class CrashDetectorTest : public testing::Test {
protected:
    CrashDetectorTest()
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
            server.processStartMilliseconds = started;
            servers.push_back(server);
        }
        m_state.servers().replaceListed(servers);
    }

    void suspect(const char* server)
    {
        m_detector.suspect({ crashingRequest, {}, request_id("r"), instance_id(server), { "127.0.0.1", 1 },
            service_name("s"), "connection_lost", 5 });
    }

    // The fleet state stays current unless the store is unreachable.
    void run(duration span, bool storeAway = false)
    {
        for (duration passed { 0 }; passed < span; passed += std::chrono::milliseconds(50)) {
            m_time.advance(std::chrono::milliseconds(50));
            if (!storeAway)
                m_state.setConfigurationConfirmed(m_time.now());
            m_detector.tick(m_time.now());
        }
    }

    size_t crashes() const { return m_table.countCrashes(crashingRequest); }

    manual_clock m_time;
    null_logger m_log;
    log_budget m_budget { 50 };
    relay_metrics m_metrics;
    relay_state m_state { {} };
    crash_table m_table { instance_id("d") };
    fake_probe m_probe;
    crash_detector m_detector { m_table, m_state, m_probe, m_metrics, m_budget, m_time, m_log };
};

} // namespace

TEST_F(CrashDetectorTest, CountsAServerWhoseAddressRefusesConnectionsAndNoOther)
{
    suspect("i-1");
    EXPECT_EQ(crashes(), 0U);
    m_probe.answer(probe_result::Refused);
    EXPECT_EQ(crashes(), 1U);
    suspect("i-2");
    m_probe.answer(probe_result::Accepted);
    EXPECT_EQ(crashes(), 1U);
    suspect("i-3");
    m_probe.answer(probe_result::Unreachable);
    EXPECT_EQ(crashes(), 1U) << "the network may be partitioned";
}

// Guards against more than three crashes per request: instances that lost power while they ran it were not counted.
TEST_F(CrashDetectorTest, AnUnresponsiveServerHasCrashedOnceItsEntryDisappears)
{
    for (const char* server : { "i-1", "i-2" })
        suspect(server);
    m_probe.answer(probe_result::Unreachable);
    run(std::chrono::seconds(4));
    EXPECT_EQ(crashes(), 0U);
    list({ "i-2", "i-3" });
    run(std::chrono::seconds(1));
    EXPECT_EQ(crashes(), 1U);
    run(std::chrono::seconds(20));
    list({ "i-3" });
    run(std::chrono::seconds(1));
    EXPECT_EQ(crashes(), 1U) << "the entry remained for too long: the network was partitioned";
}

TEST_F(CrashDetectorTest, AnUnresponsiveServerThatRestartedHasCrashed)
{
    suspect("i-1");
    m_probe.answer(probe_result::Unreachable);
    list({ "i-1", "i-2", "i-3" }, 6);
    run(std::chrono::seconds(1));
    EXPECT_EQ(crashes(), 1U);
}

// Guards against a lasting quarantine: a firewall refuses connections across a network partition while the servers
// behind it keep working.
TEST_F(CrashDetectorTest, ACrashIsWithdrawnWhenTheEntryRemains)
{
    for (const char* server : { "i-1", "i-2", "i-3" })
        suspect(server);
    m_probe.answer(probe_result::Refused);
    EXPECT_TRUE(m_detector.mayNotRunAgain(crashingRequest, {}));
    run(std::chrono::seconds(9));
    EXPECT_TRUE(m_detector.mayNotRunAgain(crashingRequest, {}));
    run(std::chrono::seconds(2));
    EXPECT_FALSE(m_detector.mayNotRunAgain(crashingRequest, {}));
}

TEST_F(CrashDetectorTest, AnOutdatedFleetStateWithdrawsNothing)
{
    suspect("i-1");
    m_probe.answer(probe_result::Refused);
    run(std::chrono::seconds(30), true);
    EXPECT_EQ(crashes(), 1U);
    list({ "i-2", "i-3" });
    run(std::chrono::seconds(1));
    EXPECT_EQ(crashes(), 1U);
}

TEST_F(CrashDetectorTest, SuspicionsCountForTheRunningRequest)
{
    suspect("i-1");
    suspect("i-1");
    suspect("i-2");
    EXPECT_FALSE(m_detector.mayNotRunAgain(crashingRequest, {})) << "two servers";
    suspect("i-3");
    EXPECT_TRUE(m_detector.mayNotRunAgain(crashingRequest, {}));
    m_table.addAnswer(crashingRequest, m_time.wallMilliseconds());
    EXPECT_FALSE(m_detector.mayNotRunAgain(crashingRequest, {})) << "another server has just answered the request";
}

// Guards against BUDGET: after an outage of the store, the entries of servers that had crashed before it were still
// listed for some seconds, and all these crashes were withdrawn.
TEST_F(CrashDetectorTest, ACrashIsNotWithdrawnOnEntriesFromBeforeAnOutageOfTheStore)
{
    suspect("i-1");
    m_probe.answer(probe_result::Refused);
    run(std::chrono::seconds(1));
    run(std::chrono::seconds(8), true);
    run(std::chrono::seconds(4));
    EXPECT_EQ(crashes(), 1U) << "the store has just returned; the entry may not have expired yet";
    list({ "i-2", "i-3" });
    run(std::chrono::seconds(20));
    EXPECT_EQ(crashes(), 1U);
}

} // namespace pollen
