#include "gateway_fakes.h"

namespace pollen {

// Guards against requests that are taken late in a planned stop, whatever time they need, and cut without an answer.
TEST_F(GatewayTest, AStoppingInstanceTakesOnlyWhatCanSurelyEnd)
{
    m_gateway.setDraining(m_clock.now() + std::chrono::seconds(3));
    EXPECT_EQ(send(chat("", { { "X-Pollen-Deadline-Ms", "3001" } }))->error(), "overloaded not_run");
    http_request late = order("k1");
    late.headers.emplace_back("X-Pollen-Deadline-Ms", "5000");
    const auto refused = send(late);
    EXPECT_EQ(refused->error(), "overloaded not_run");
    EXPECT_FALSE(refused->header("Retry-After").empty());
    EXPECT_TRUE(m_engine.calls.empty());
    EXPECT_TRUE(m_service.calls.empty());
    send(chat("", { { "X-Pollen-Deadline-Ms", "3000" } }));
    EXPECT_EQ(m_engine.calls.size(), 1U);
}

// Guards against closed connections at the end of a planned stop.
TEST_F(GatewayTest, WhatIsOpenWhenTheInstanceStopsIsAnswered)
{
    const auto stream = send(chat(R"(,"stream":true)"));
    engineCall(0).listener->onBytes("data: {}\n\n");
    runLoop();
    const auto plain = send(chat());
    m_gateway.endOpenRequests();
    runLoop();
    EXPECT_EQ(plain->error(), "backend_failed unknown");
    EXPECT_TRUE(stream->ended);
    EXPECT_NE(stream->body.find("event: error"), std::string::npos) << stream->body;
    EXPECT_EQ(stream->body.find("[DONE]"), std::string::npos);
    const auto call = send(order("k1"));
    ASSERT_EQ(m_service.calls.size(), 1U) << call->body;
    m_gateway.endOpenRequests();
    runLoop();
    EXPECT_EQ(call->error(), "backend_failed unknown");
    EXPECT_EQ(m_gateway.openRequests(), 0U);
}

} // namespace pollen
