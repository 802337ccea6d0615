#include "control_fakes.h"

#include <gtest/gtest.h>

namespace pollen {

namespace {

constexpr int64_t hourMilliseconds = 3600000;

struct claim_answer {
    claim_outcome outcome;
    std::optional<recorded_answer> answer;
};

class ClaimLedgerTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_a = std::make_unique<test_daemon>(m_loop, m_network, m_log, m_clock, "a", 1);
        m_b = std::make_unique<test_daemon>(m_loop, m_network, m_log, m_clock, "b", 2);
        for (test_daemon* daemon : { m_a.get(), m_b.get() })
            daemon->claims.start();
        exchangeHeartbeats();
    }

    // Lets each daemon receive a heartbeat from the other.
    void exchangeHeartbeats()
    {
        m_a->peers.replaceListed({ { instance_id("b"), failure_domain_name("y"), { "127.0.0.1", 2 } } });
        m_b->peers.replaceListed({ { instance_id("a"), failure_domain_name("x"), { "127.0.0.1", 1 } } });
        m_a->node.sendHeartbeats();
        m_b->node.sendHeartbeats();
        runLoop();
    }

    void runLoop(int milliseconds = 5)
    {
        m_loop.runUntil([] { return false; }, std::chrono::milliseconds(milliseconds));
    }

    void claim(test_daemon& daemon, const std::string& request, const std::string& key = "k",
        const std::string& fingerprint = "f")
    {
        daemon.claims.claim(key, fingerprint, request_id(request),
            [this, request](claim_outcome outcome, const recorded_answer* answer) {
                EXPECT_FALSE(m_answers.contains(request)) << "answered twice";
                m_answers[request] = { outcome, answer ? std::optional(*answer) : std::nullopt };
            });
    }

    // The outcome of a claim, or "waiting" if there is none within 100 ms.
    std::string outcome(const std::string& request)
    {
        m_loop.runUntil([&] { return m_answers.contains(request); }, std::chrono::milliseconds(100));
        return m_answers.contains(request) ? toText(m_answers[request].outcome) : "waiting";
    }

    void advancePastClaimTimeout(test_daemon& daemon)
    {
        m_clock.advance(std::chrono::seconds(3));
        daemon.claims.tick(m_clock.now());
        runLoop();
    }

    event_loop m_loop;
    manual_clock m_clock;
    memory_record_log m_log { m_loop, m_clock, 1000 };
    memory_network m_network { m_loop };
    std::unique_ptr<test_daemon> m_a;
    std::unique_ptr<test_daemon> m_b;
    std::map<std::string, claim_answer> m_answers;
};

const recorded_answer created { 201, "text/plain", "order 7", true };

} // namespace

TEST_F(ClaimLedgerTest, GrantsOneOfTwoConcurrentClaims)
{
    claim(*m_a, "ra");
    claim(*m_b, "rb");
    EXPECT_EQ(outcome("ra"), "granted");
    EXPECT_EQ(outcome("rb"), "waiting");
    m_a->claims.recordAnswer("k", request_id("ra"), created);
    EXPECT_EQ(outcome("rb"), "answered");
    EXPECT_EQ(*m_answers["rb"].answer, created);
}

TEST_F(ClaimLedgerTest, RetryThroughAnotherDaemonGetsRecordedAnswer)
{
    claim(*m_a, "r1");
    EXPECT_EQ(outcome("r1"), "granted");
    m_a->claims.recordAnswer("k", request_id("r1"), created);
    runLoop(50);
    claim(*m_b, "r2");
    EXPECT_EQ(outcome("r2"), "answered");
    claim(*m_a, "r3", "k", "another call");
    EXPECT_EQ(outcome("r3"), "key_reused");
}

TEST_F(ClaimLedgerTest, RetryAfterOwnerCrashedIsOwnedElsewhere)
{
    claim(*m_a, "r1");
    EXPECT_EQ(outcome("r1"), "granted");
    runLoop(30);
    m_a.reset();
    m_clock.advance(std::chrono::seconds(4));
    claim(*m_b, "r2");
    EXPECT_EQ(outcome("r2"), "owned_elsewhere");
}

TEST_F(ClaimLedgerTest, RetryWaitsForLiveOwnerUntilTimeout)
{
    claim(*m_a, "r1");
    EXPECT_EQ(outcome("r1"), "granted");
    claim(*m_b, "r2");
    EXPECT_EQ(outcome("r2"), "waiting");
    advancePastClaimTimeout(*m_b);
    EXPECT_EQ(outcome("r2"), "owned_elsewhere");
}

TEST_F(ClaimLedgerTest, ReleasedKeyIsGrantedToNextRequest)
{
    claim(*m_a, "r1");
    EXPECT_EQ(outcome("r1"), "granted");
    m_a->claims.release("k", request_id("r1"));
    runLoop(50);
    claim(*m_b, "r2");
    EXPECT_EQ(outcome("r2"), "granted");
}

TEST_F(ClaimLedgerTest, OnlyOwnerCanReleaseOrAnswer)
{
    claim(*m_a, "r1");
    EXPECT_EQ(outcome("r1"), "granted");
    m_b->claims.release("k", request_id("r2"));
    m_b->claims.recordAnswer("k", request_id("r2"), created);
    runLoop(50);
    claim(*m_b, "r3");
    advancePastClaimTimeout(*m_b);
    EXPECT_EQ(outcome("r3"), "owned_elsewhere");
}

TEST_F(ClaimLedgerTest, AppendFaultsGrantAtMostOneClaim)
{
    const std::vector<append_fault> faults { append_fault::None, append_fault::Refused, append_fault::AnswerLost,
        append_fault::RequestLost };
    int key = 0;
    for (const append_fault faultA : faults) {
        for (const append_fault faultB : faults) {
            const std::string name = "key" + std::to_string(++key);
            m_a->log.faults = { faultA };
            m_b->log.faults = { faultB };
            claim(*m_a, name + "a", name);
            claim(*m_b, name + "b", name);
            runLoop(60);
            advancePastClaimTimeout(*m_a);
            advancePastClaimTimeout(*m_b);
            const int granted = (outcome(name + "a") == "granted" ? 1 : 0) + (outcome(name + "b") == "granted" ? 1 : 0);
            EXPECT_LE(granted, 1);
            const bool reached = faultA == append_fault::None || faultA == append_fault::AnswerLost;
            EXPECT_EQ(outcome(name + "a") == "granted", reached);
            EXPECT_NE(outcome(name + "b"), "waiting");
            exchangeHeartbeats();
        }
    }
}

TEST_F(ClaimLedgerTest, LogOutageIsReportedImmediatelyAndRecovers)
{
    m_a->log.defaultFault = append_fault::Refused;
    claim(*m_a, "r1");
    EXPECT_EQ(outcome("r1"), "unavailable");
    m_a->log.defaultFault = append_fault::None;
    runLoop(50);
    claim(*m_a, "r2");
    EXPECT_EQ(outcome("r2"), "granted");
}

// The claim is appended, but its answer is lost and reads fail until the request times out. The claim must be released
// once it is read back; otherwise the key stays claimed by a request that no longer exists.
TEST_F(ClaimLedgerTest, ClaimAppliedAfterRequestTimedOutIsReleased)
{
    m_a->claims.cancel(request_id("nobody"));
    m_a->log.readsFail = true;
    // This record completes the read that is pending at the end of the stream; the next read fails.
    claim(*m_b, "r0", "other");
    EXPECT_EQ(outcome("r0"), "granted");
    runLoop(50);
    m_a->log.faults = { append_fault::AnswerLost };
    claim(*m_a, "r1");
    runLoop(50);
    advancePastClaimTimeout(*m_a);
    EXPECT_EQ(outcome("r1"), "unavailable");
    m_a->log.readsFail = false;
    m_loop.runUntil([] { return false; }, std::chrono::milliseconds(1500));
    claim(*m_b, "r2");
    EXPECT_EQ(outcome("r2"), "granted");
}

TEST_F(ClaimLedgerTest, CancelledClaimIsReleased)
{
    claim(*m_a, "r1");
    m_a->claims.cancel(request_id("r1"));
    runLoop(60);
    EXPECT_FALSE(m_answers.contains("r1"));
    claim(*m_b, "r2");
    EXPECT_EQ(outcome("r2"), "granted");
}

TEST_F(ClaimLedgerTest, OversizedAnswerIsRecordedWithoutBody)
{
    claim(*m_a, "r1");
    EXPECT_EQ(outcome("r1"), "granted");
    m_a->claims.recordAnswer("k", request_id("r1"), { 200, "text/plain", std::string(100000, 'x'), true });
    runLoop(50);
    claim(*m_b, "r2");
    EXPECT_EQ(outcome("r2"), "answered");
    EXPECT_FALSE(m_answers["r2"].answer->bodyKept);
}

TEST(ClaimReducer, ExpiresKeysAfterTheirLifetimeInLogTime)
{
    claim_reducer reducer(hourMilliseconds);
    claim_record record;
    record.key = "k";
    record.request = request_id("r1");
    reducer.apply(record, 0);
    record.request = request_id("r2");
    reducer.apply(record, hourMilliseconds - 1);
    EXPECT_EQ(reducer.find("k")->owner, request_id("r1"));
    reducer.apply(record, hourMilliseconds);
    EXPECT_EQ(reducer.find("k")->owner, request_id("r2"));
    EXPECT_EQ(reducer.size(), 1U);
}

} // namespace pollen
