#include "gateway_fakes.h"

namespace pollen {

TEST_F(GatewayTest, NonRepeatableCallRunsOnceAndItsRetryGetsTheRecordedAnswer)
{
    const auto first = send(order("k1"));
    ASSERT_EQ(m_service.calls.size(), 1U);
    EXPECT_TRUE(m_service.calls[0].nonRepeatable);
    EXPECT_EQ(m_service.calls[0].target, "/orders");
    m_service.answer(0, 201, "order 7");
    runLoop(40);
    EXPECT_EQ(first->status, 201);
    const auto second = send(order("k1"));
    EXPECT_EQ(second->status, 201);
    EXPECT_EQ(second->body, "order 7");
    EXPECT_EQ(second->header("X-Pollen-Replayed"), "true");
    EXPECT_EQ(send(order("k1", "4 combs"))->error(), "idempotency_key_reused not_run");
    EXPECT_EQ(m_service.calls.size(), 1U);
    EXPECT_EQ(bills().size(), 1U);
}

TEST_F(GatewayTest, NonRepeatableCallThatMayHaveRunIsNotRetried)
{
    for (const backend_failure failure : { backend_failure::ConnectionLost, backend_failure::TimedOut,
             backend_failure::RequestIdMismatch, backend_failure::Malformed, backend_failure::ServerError }) {
        for (const char* key : { "", "key" }) {
            m_service.calls.clear();
            m_service.callbacks.clear();
            m_clock.advance(std::chrono::seconds(60));
            const std::string name = *key == '\0' ? "" : std::string(key) + toText(failure);
            const auto request = send(order(name));
            ASSERT_EQ(m_service.calls.size(), 1U);
            m_service.fail(0, failure);
            runLoop(25);
            EXPECT_EQ(m_service.calls.size(), 1U);
            EXPECT_EQ(request->header("X-Pollen-Run"), "unknown");
        }
    }
}

TEST_F(GatewayTest, NonRepeatableCallThatDidNotRunIsRetriedAndReleasesItsKey)
{
    const auto request = send(order("k1"));
    m_service.fail(0, backend_failure::NotReached);
    ASSERT_EQ(m_service.calls.size(), 2U);
    m_service.fail(1, backend_failure::Busy);
    EXPECT_EQ(request->error(), "no_server_available not_run");
    runLoop(60);
    m_clock.advance(std::chrono::seconds(60));
    const auto again = send(order("k1"));
    ASSERT_EQ(m_service.calls.size(), 3U);
    m_service.answer(2, 201, "order 8");
    runLoop();
    EXPECT_EQ(again->body, "order 8");
}

TEST_F(GatewayTest, NonRepeatableCallContinuesAfterItsCallerDisconnects)
{
    const auto first = send(order("k1"));
    first->hangUp();
    EXPECT_EQ(m_gateway.openRequests(), 1U) << "a graceful shutdown waits for the call";
    m_service.answer(0, 201, "order 7");
    runLoop(40);
    EXPECT_EQ(m_gateway.openRequests(), 0U);
    EXPECT_EQ(send(order("k1"))->body, "order 7");
}

TEST_F(GatewayTest, IdempotentReadIsRetriedUnlessListedAsNonRepeatable)
{
    const http_headers key { { "Authorization", "Bearer key" } };
    const auto read = send({ "GET", "/services/orders/stock?item=comb", key, "" });
    m_service.fail(0, backend_failure::ConnectionLost);
    ASSERT_EQ(m_service.calls.size(), 2U);
    EXPECT_EQ(m_service.calls[1].target, "/stock?item=comb");
    m_service.answer(1, 200, "12");
    EXPECT_EQ(read->body, "12");
    m_clock.advance(std::chrono::seconds(60));
    const auto once = send({ "GET", "/services/orders/once", key, "" });
    m_service.fail(2, backend_failure::ConnectionLost);
    EXPECT_EQ(m_service.calls.size(), 3U);
    EXPECT_EQ(once->header("X-Pollen-Run"), "unknown");
}

TEST_F(GatewayTest, RejectsUnknownServicesAndTeamsWithoutPermission)
{
    struct row {
        const char* target;
        const char* key;
        const char* error;
    };
    for (const row& row : { row { "/services/none/x", "key", "unknown_service not_run" },
             row { "/services//x", "key", "unknown_service not_run" },
             row { "/services/closed/x", "key", "not_allowed not_run" },
             row { "/services/orders/x", "other", "not_allowed not_run" },
             row { "/services/orders/x", "wrong", "wrong_key not_run" } }) {
        const auto request = send({ "GET", row.target, { { "Authorization", std::string("Bearer ") + row.key } }, "" });
        EXPECT_EQ(request->error(), row.error) << row.target;
    }
    EXPECT_TRUE(m_service.calls.empty());
}

} // namespace pollen
