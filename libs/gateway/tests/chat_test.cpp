#include "gateway_fakes.h"

#include <gateway/session_token.h>

namespace pollen {

namespace {

const std::string answerBody = R"({"choices":[]})";
const std::string event = "data: {}\n\n";

} // namespace

TEST_F(GatewayTest, AnswersAndBillsOnce)
{
    const auto request = send(chat());
    ASSERT_EQ(m_engine.calls.size(), 1U);
    EXPECT_EQ(engineCall(0).request.version.text(), "small/v1");
    EXPECT_EQ(engineCall(0).request.priority, 3);
    answerEngine(0, answerBody);
    EXPECT_EQ(request->status, 200);
    EXPECT_EQ(request->body, answerBody);
    EXPECT_EQ(request->header("X-Pollen-Version"), "v1");
    EXPECT_EQ(request->header("X-Pollen-Run"), "ran");
    const auto all = bills();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].id, request->header("X-Request-Id"));
    EXPECT_DOUBLE_EQ(all[0].cost, (3 * 1 + 10 * 2) / 1000.0);
    EXPECT_EQ(m_gateway.openRequests(), 0U);
    EXPECT_EQ(m_tables.servers().row({ 0 }).ownRequests + m_tables.servers().row({ 1 }).ownRequests, 0U);
}

TEST_F(GatewayTest, RelaysAStreamAndClosesItAfterTheBill)
{
    const auto request = send(chat(R"(,"stream":true)"));
    EXPECT_EQ(request->status, 0) << "no status is sent before the engine answers";
    engineCall(0).listener->onBytes(event);
    runLoop();
    EXPECT_EQ(request->body, event);
    EXPECT_EQ(request->header("Content-Type"), "text/event-stream");
    answerEngine(0, event);
    EXPECT_EQ(request->body, event + event + "data: [DONE]\n\n");
    EXPECT_TRUE(request->ended);
    EXPECT_EQ(bills().size(), 1U);
}

// None of these requests may reach an engine or be billed, and each error must say that nothing was run.
TEST_F(GatewayTest, InvalidRequestsGetATypedErrorWithTheRightRunState)
{
    const auto with = [](http_request request, const char* name, const std::string& value) {
        request.headers.insert(request.headers.begin(), { name, value });
        return request;
    };
    const auto body = [](const std::string& text) {
        http_request request = chat();
        request.body = text;
        return request;
    };
    const std::string deep = R"({"model":"auto","messages":[{"role":"user","x":)" + std::string(50000, '[');
    const std::string token
        = encodeSession({ "s", team_name("sales"), parseVersionRef("small/v1") }, "another secret..");
    const std::string foreign = encodeSession({ "s", team_name("x"), parseVersionRef("small/v1") }, "0123456789abcdef");
    struct row {
        http_request request;
        int status;
        const char* error;
    };
    const std::vector<row> rows {
        { { "GET", "/nowhere", {}, "" }, 404, "unknown_route not_run" },
        { { "GET", "/v1/chat/completions", {}, "" }, 404, "unknown_route not_run" },
        { { "POST", "/v1/chat/completions", {}, "{}" }, 401, "missing_key not_run" },
        { with(chat(), "Authorization", "Basic key"), 401, "missing_key not_run" },
        { with(chat(), "Authorization", "Bearer wrong"), 401, "wrong_key not_run" },
        { with(chat(), "Authorization", "Bearer other"), 403, "not_allowed not_run" },
        { with(chat(), "X-Pollen-Class", "none"), 400, "unknown_class not_run" },
        { with(chat(), "X-Pollen-Deadline-Ms", "soon"), 400, "invalid_deadline not_run" },
        { with(chat(), "X-Pollen-Deadline-Ms", "0"), 400, "invalid_deadline not_run" },
        { with(chat(), "X-Pollen-Deadline-Ms", "-5"), 400, "invalid_deadline not_run" },
        { with(chat(), "X-Pollen-Deadline-Ms", "1"), 503, "deadline_unreachable not_run" },
        { with(chat(), "X-Pollen-Session", "forged"), 400, "invalid_session not_run" },
        { with(chat(), "X-Pollen-Session", token), 400, "invalid_session not_run" },
        { with(chat(), "X-Pollen-Session", foreign), 400, "invalid_session not_run" },
        { with(chat(), "Idempotency-Key", std::string(201, 'x')), 400, "invalid_idempotency_key not_run" },
        { body(""), 400, "malformed_request not_run" },
        { body("{"), 400, "malformed_request not_run" },
        { body("[]"), 400, "malformed_request not_run" },
        { body("\xff"), 400, "malformed_request not_run" },
        { body(deep), 400, "malformed_request not_run" },
        { body(R"({"model":"auto"})"), 400, "malformed_request not_run" },
        { body(R"({"model":"auto","messages":[]})"), 400, "malformed_request not_run" },
        { body(R"({"model":"auto","messages":[7]})"), 400, "malformed_request not_run" },
        { body(R"({"model":7,"messages":[{"role":"user"}]})"), 400, "malformed_request not_run" },
        { body(R"({"model":"auto","messages":[{"role":"user"}],"stream":"yes"})"), 400, "malformed_request not_run" },
        { body(R"({"model":"auto","messages":[{"role":"user"}],"max_tokens":-1})"), 400, "malformed_request not_run" },
        { body(R"({"model":"auto","messages":[{"role":"user"}],"max_tokens":0})"), 400, "malformed_request not_run" },
        { body(R"({"model":"huge","messages":[{"role":"user"}]})"), 404, "unknown_model not_run" },
        { body(R"({"model":"small/v9","messages":[{"role":"user"}]})"), 404, "unknown_model not_run" },
    };
    for (const row& row : rows) {
        const auto request = send(row.request);
        EXPECT_EQ(request->status, row.status) << row.error;
        EXPECT_EQ(request->error(), row.error);
        EXPECT_FALSE(request->header("X-Request-Id").empty());
    }
    EXPECT_TRUE(m_engine.calls.empty());
    EXPECT_TRUE(bills().empty());
    EXPECT_EQ(m_gateway.openRequests(), 0U);
}

TEST_F(GatewayTest, RetriesOnAnotherServerBeforeAnyOutputIsSent)
{
    const auto request = send(chat());
    failEngine(0, backend_failure::RequestIdMismatch);
    ASSERT_EQ(m_engine.calls.size(), 2U);
    EXPECT_NE(engineCall(0).server, engineCall(1).server);
    EXPECT_FALSE(engineCall(0).alive);
    answerEngine(1, answerBody);
    EXPECT_EQ(request->body, answerBody);
    EXPECT_EQ(bills().size(), 1U);
}

// The run state covers all attempts: one lost connection makes it unknown, even if later attempts did not run.
TEST_F(GatewayTest, ReportsNotRunOnlyWhenNoAttemptCanHaveRun)
{
    using failures = std::vector<backend_failure>;
    struct row {
        failures attempts;
        const char* error;
    };
    const auto busy = backend_failure::Busy;
    const auto lost = backend_failure::ConnectionLost;
    for (const row& row : { row { { busy, busy, busy }, "no_server_available not_run" },
             row { { lost, busy, busy }, "no_server_available unknown" },
             row { { busy, busy, lost }, "backend_failed unknown" },
             row { { backend_failure::TimedOut, busy, backend_failure::TimedOut }, "backend_timed_out unknown" },
             row { { backend_failure::Rejected }, "backend_rejected not_run" },
             row { { lost, backend_failure::Rejected }, "backend_rejected unknown" } }) {
        m_engine.calls.clear();
        m_clock.advance(std::chrono::seconds(60));
        const auto request = send(chat());
        for (size_t i = 0; i < row.attempts.size(); ++i)
            failEngine(i, row.attempts[i]);
        EXPECT_EQ(m_engine.calls.size(), row.attempts.size());
        EXPECT_EQ(request->error(), row.error);
    }
    EXPECT_TRUE(bills().empty());
}

TEST_F(GatewayTest, InterruptedStreamEndsWithAnErrorEventAndWithoutDone)
{
    const auto request = send(chat(R"(,"stream":true)"));
    engineCall(0).listener->onBytes(event);
    runLoop();
    failEngine(0, backend_failure::ConnectionLost);
    EXPECT_EQ(m_engine.calls.size(), 1U) << "no retry: part of the first answer has been sent";
    EXPECT_NE(request->body.find("event: error"), std::string::npos);
    EXPECT_EQ(request->body.find("[DONE]"), std::string::npos);
    EXPECT_TRUE(request->ended);
    EXPECT_EQ(bills().size(), 1U) << "the generated part is billed";
}

TEST_F(GatewayTest, DisconnectedCallerCancelsTheEngineCall)
{
    const auto request = send(chat(R"(,"stream":true)"));
    engineCall(0).listener->onBytes(event + event);
    runLoop();
    request->hangUp();
    runLoop();
    EXPECT_FALSE(engineCall(0).alive);
    EXPECT_EQ(m_gateway.openRequests(), 0U);
    const auto all = bills();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].outputTokens, 2U);
}

TEST_F(GatewayTest, CallerThatDisconnectsDuringBillReplicationIsBilledOnce)
{
    m_peers.applyHeartbeat(
        { instance_id("silent"), 1, failure_domain_name("b"), { "127.0.0.1", 1 }, false, 0 }, m_clock.now());
    const auto request = send(chat(R"(,"stream":true)"));
    engineCall(0).listener->onBytes(event + event);
    engineCall(0).listener->onAnswered({ 3, 10 });
    EXPECT_FALSE(request->ended) << "the peer has not acknowledged the bill";
    request->hangUp();
    runLoop();
    const auto all = bills();
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].outputTokens, 10U);
    EXPECT_NE(
        m_metrics.render().find("pollen_output_tokens_total{class=\"quick\",team=\"sales\"} 10"), std::string::npos);
}

TEST_F(GatewayTest, PausesTheEngineWhenTheCallerReadsSlowly)
{
    const auto request = send(chat(R"(,"stream":true)"));
    request->unsent = m_settings.limits.streamBufferBytes;
    engineCall(0).listener->onBytes(event);
    runLoop();
    EXPECT_TRUE(engineCall(0).paused);
    request->unsent = 0;
    request->whenSent();
    EXPECT_FALSE(engineCall(0).paused);
}

TEST_F(GatewayTest, SessionKeepsItsVersionUntilItIsWithdrawn)
{
    auto request = send(chat(R"(,"model":"small/v2")", { { "X-Pollen-Session", "new" } }));
    answerEngine(0, answerBody);
    const http_headers session { { "X-Pollen-Session", request->header("X-Pollen-Session") } };
    request = send(chat("", session));
    EXPECT_EQ(engineCall(1).request.version.text(), "small/v2") << "kept although v1 is cheaper";
    answerEngine(1, answerBody);
    EXPECT_TRUE(request->header("X-Pollen-Session-Changed").empty());
    EXPECT_EQ(send(chat(R"(,"model":"small/v1")", session))->error(), "session_conflict not_run");
    install({ "name = \"v2\"", "name = \"v2\"\nstate = \"withdrawn\"" });
    request = send(chat("", session));
    EXPECT_EQ(engineCall(2).request.version.text(), "small/v1");
    answerEngine(2, answerBody);
    EXPECT_FALSE(request->header("X-Pollen-Session-Changed").empty());
}

TEST_F(GatewayTest, RetryAppliesAWithdrawalMadeSinceTheFirstAttempt)
{
    const auto request = send(chat());
    install({ "name = \"v1\"", "name = \"v1\"\nstate = \"withdrawn\"" });
    failEngine(0, backend_failure::Busy);
    ASSERT_EQ(m_engine.calls.size(), 2U);
    EXPECT_EQ(engineCall(1).request.version.text(), "small/v2");
    answerEngine(1, answerBody);
    EXPECT_EQ(request->header("X-Pollen-Version"), "v2");
}

TEST_F(GatewayTest, TeamRemovedFromTheConfigurationGetsNoRetry)
{
    const auto request = send(chat());
    install({ "name = \"sales\"", "name = \"gone\"" });
    failEngine(0, backend_failure::Busy);
    EXPECT_EQ(m_engine.calls.size(), 1U);
    EXPECT_EQ(request->error(), "not_allowed not_run");
}

TEST_F(GatewayTest, RejectsRequestsAboveTheTeamLimit)
{
    send(chat());
    send(chat());
    const auto request = send(chat());
    EXPECT_EQ(request->error(), "too_many_requests not_run");
    EXPECT_EQ(request->header("Retry-After"), "1");
    answerEngine(0, answerBody);
    EXPECT_EQ(send(chat())->status, 0) << "admitted and running";
}

TEST_F(GatewayTest, RequestRepeatedWithTheSameIdempotencyKeyHasOneBillId)
{
    for (size_t i = 0; i < 2; ++i) {
        send(chat("", { { "Idempotency-Key", "k" } }));
        answerEngine(i, answerBody);
    }
    const auto all = bills();
    ASSERT_FALSE(all.empty());
    EXPECT_EQ(all.front().id, all.back().id);
}

TEST_F(GatewayTest, ExplainsItsDecision)
{
    const auto request = send(chat());
    answerEngine(0, answerBody);
    const auto text = m_journal.explain(request_id(request->header("X-Request-Id")));
    ASSERT_TRUE(text);
    const auto json = nlohmann::json::parse(*text);
    const auto& decision = json["steps"][0]["decision"];
    EXPECT_EQ(decision["version"], "small/v1");
    EXPECT_EQ(decision["candidates"][1]["excluded"], "costs_more");
    EXPECT_FALSE(m_journal.explain(request_id("unknown")));
}

TEST_F(GatewayTest, SubmitsASampleOfCompleteAnswersForRating)
{
    constexpr size_t requests = 300;
    for (size_t i = 0; i < requests; ++i) {
        m_clock.advance(std::chrono::seconds(1));
        send(chat(R"(,"stream":true)"));
        engineCall(i).listener->onBytes(event);
        answerEngine(i, event);
    }
    const auto& samples = m_ratingService.samples;
    EXPECT_GT(samples.size(), requests / 100);
    EXPECT_LT(samples.size(), requests / 10);
    EXPECT_EQ(samples.front().answer, event + event);
    EXPECT_EQ(samples.front().version.text(), "small/v1");
}

TEST_F(GatewayTest, CountsEachRatingOnce)
{
    const version_ref small = parseVersionRef("small/v1");
    const class_name quick("quick");
    m_ratingService.answer = { { 1, small, quick, 0.5 }, { 2, small, quick, 1 } };
    for (int i = 0; i < 3; ++i) {
        m_clock.advance(std::chrono::seconds(2));
        m_ratings.tick(m_clock.now());
    }
    EXPECT_EQ(m_ratingService.reads, (std::vector<uint64_t> { 1, 3, 3 }));
    EXPECT_EQ(m_ratings.summaries().at({ small, quick }), (rating_summary { 2, 1.5 }));
    m_ratingService.answer.reset();
    m_clock.advance(std::chrono::seconds(2));
    m_ratings.tick(m_clock.now());
    EXPECT_EQ(m_ratings.summaries().at({ small, quick }).count, 2U);
}

TEST_F(GatewayTest, ListsTheModelsOfTheTeam)
{
    const auto request = send({ "GET", "/v1/models", { { "Authorization", "Bearer key" } }, "" });
    const auto json = nlohmann::json::parse(request->body);
    ASSERT_EQ(json["data"].size(), 2U);
    EXPECT_EQ(json["data"][0]["id"], "small/v1");
    const auto other = send({ "GET", "/v1/models", { { "Authorization", "Bearer other" } }, "" });
    EXPECT_TRUE(nlohmann::json::parse(other->body)["data"].empty());
}

TEST_F(GatewayTest, IsReadyUntilItDrains)
{
    EXPECT_EQ(send({ "GET", "/readyz", {}, "" })->status, 200);
    m_gateway.setDraining(m_clock.now() + std::chrono::hours(1));
    EXPECT_EQ(send({ "GET", "/readyz", {}, "" })->status, 503);
    EXPECT_EQ(send({ "GET", "/healthz", {}, "" })->status, 200);
    send(chat());
    EXPECT_EQ(m_engine.calls.size(), 1U) << "requests that still arrive are served";
}

TEST_F(GatewayTest, RecordsMetricsForEachTeamAndClass)
{
    send(chat(R"(,"stream":true)"));
    engineCall(0).listener->onBytes(event);
    answerEngine(0, event);
    const std::string text = m_metrics.render();
    for (const char* line : { "pollen_first_token_seconds_count{class=\"quick\",team=\"sales\"} 1",
             "pollen_between_tokens_seconds_count{class=\"quick\",team=\"sales\"} 1",
             "pollen_request_seconds_count{class=\"quick\",team=\"sales\"} 1",
             "pollen_output_tokens_total{class=\"quick\",team=\"sales\"} 10" })
        EXPECT_NE(text.find(line), std::string::npos) << line;
}

TEST(SessionToken, RejectsChangedAndTruncatedTokens)
{
    const session original { "s1", team_name("t"), parseVersionRef("m/v1") };
    const std::string token = encodeSession(original, "secret");
    EXPECT_EQ(decodeSession(token, "secret"), original);
    for (size_t i = 0; i < token.size(); ++i) {
        std::string changed = token;
        changed[i] = changed[i] == '0' ? '1' : '0';
        EXPECT_FALSE(decodeSession(changed, "secret")) << i;
        EXPECT_FALSE(decodeSession(token.substr(0, i), "secret")) << i;
    }
}

} // namespace pollen
