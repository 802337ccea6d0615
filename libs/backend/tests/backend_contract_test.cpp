#include <backend/http_model_engine.h>
#include <backend/http_routed_service.h>
#include <gtest/gtest.h>
#include <http/http_server.h>
#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration maximumWait = std::chrono::seconds(10);
constexpr const char* usage = R"("usage":{"prompt_tokens":3,"completion_tokens":2})";
const std::string token = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const std::string lastToken = std::string("data: {\"choices\":[],") + usage + "}\n\n";

struct answer_listener final : engine_listener {
    void onBytes(std::string_view part) override { bytes += part; }
    void onAnswered(const token_usage& answerUsage) override { answered = answerUsage; }
    void onFailed(backend_failure problem, const std::string& text) override
    {
        failure = problem;
        detail = text;
    }
    bool ended() const { return answered || failure; }

    std::string bytes;
    std::optional<token_usage> answered;
    std::optional<backend_failure> failure;
    std::string detail;
};

// A response sent in parts. Status 0 closes the connection without a response; an empty id echoes the request's id.
struct scripted_answer {
    int status = 200;
    std::vector<std::string> parts;
    std::string id;
    bool abortAfterParts = false;
    http_headers headers;
};

class BackendTest : public testing::Test {
protected:
    const endpoint& serve(const scripted_answer& answer)
    {
        m_server = std::make_unique<http_server>(m_loop, endpoint { "127.0.0.1", 0 }, http_server_limits {},
            [=, this](const std::shared_ptr<server_request>& request) { respond(request, answer); });
        return m_server->address();
    }

    void respond(const std::shared_ptr<server_request>& request, const scripted_answer& answer)
    {
        m_lastRequest = request->request();
        if (answer.status == 0) {
            request->abort();
            return;
        }
        http_headers headers = answer.headers;
        const std::string own(findHeader(m_lastRequest.headers, "X-Request-Id"));
        headers.emplace_back("X-Request-Id", answer.id.empty() ? own : answer.id);
        request->startStream(answer.status, headers);
        for (const std::string& part : answer.parts)
            request->sendPart(part);
        if (answer.abortAfterParts)
            request->callWhenSent([request] { request->abort(); });
        else
            request->endStream();
    }

    answer_listener generate(const endpoint& server, bool streaming)
    {
        http_model_engine engine(m_client, std::chrono::seconds(1));
        answer_listener listener;
        const engine_request request { request_id("r1"), parseVersionRef("m/v1"),
            std::make_shared<const nlohmann::json>(nlohmann::json::parse(R"({"model":"auto","messages":[]})")),
            streaming, 2, std::chrono::seconds(2) };
        const auto call = engine.generate(server, request, listener);
        EXPECT_TRUE(m_loop.runUntil([&] { return listener.ended(); }, maximumWait));
        return listener;
    }

    event_loop m_loop;
    http_client m_client { m_loop };
    std::unique_ptr<http_server> m_server;
    http_request m_lastRequest;
};

} // namespace

TEST_F(BackendTest, StreamIsRelayedCompletelyAndWithoutDone)
{
    // Splits the stream at every seventh byte: parsing must not depend on packet boundaries.
    const std::string events = token + token + lastToken;
    const std::string whole = events + "data: [DONE]\n\n";
    for (size_t cut = 1; cut < whole.size(); cut += 7) {
        const answer_listener listener
            = generate(serve({ 200, { whole.substr(0, cut), whole.substr(cut) }, "", false, {} }), true);
        ASSERT_TRUE(listener.answered) << cut;
        EXPECT_EQ(listener.answered->outputTokens, 2U);
        EXPECT_EQ(listener.bytes, events);
    }
    const auto body = nlohmann::json::parse(m_lastRequest.body);
    EXPECT_EQ(body["model"], "m/v1");
    EXPECT_EQ(body["stream_options"]["include_usage"], true);
    EXPECT_EQ(findHeader(m_lastRequest.headers, "X-Priority"), "2");
}

TEST_F(BackendTest, EachFailureIsClassified)
{
    struct row {
        const char* name;
        scripted_answer answer;
        bool streaming;
        backend_failure failure;
        bool notRun;
    };
    const std::string body = std::string("{") + usage + "}";
    const std::vector<row> rows {
        { "busy", { 503, {}, "", false, {} }, true, backend_failure::Busy, true },
        { "over its limit", { 429, {}, "", false, {} }, false, backend_failure::Busy, true },
        { "rejected", { 400, { "too long" }, "", false, {} }, false, backend_failure::Rejected, false },
        { "failed", { 500, {}, "", false, {} }, true, backend_failure::ServerError, false },
        { "crossed", { 200, { body }, "other", false, {} }, false, backend_failure::RequestIdMismatch, false },
        { "crossed stream", { 200, { token }, "other", false, {} }, true, backend_failure::RequestIdMismatch, false },
        { "closed", { 0, {}, "", false, {} }, false, backend_failure::ConnectionLost, false },
        { "cut", { 200, { token }, "", true, {} }, true, backend_failure::ConnectionLost, false },
        { "no end", { 200, { token, lastToken }, "", false, {} }, true, backend_failure::Malformed, false },
        { "no usage", { 200, { token, "data: [DONE]\n\n" }, "", false, {} }, true, backend_failure::Malformed, false },
        { "not JSON", { 200, { "<html>" }, "", false, {} }, false, backend_failure::Malformed, false },
        // Guards against a stream that is passed on without the bytes of a line that was too long.
        { "a line beyond the limit",
            { 200, { token, "data: ", std::string(2U << 20, 'x'), "\n\n" + lastToken + "data: [DONE]\n\n" }, "", false,
                {} },
            true, backend_failure::Malformed, false },
        // Guards against an answer that is buffered until memory runs out.
        { "too large", { 200, { std::string(5U << 20, ' '), body }, "", false, {} }, false, backend_failure::Malformed,
            false },
        { "usage of a wrong type",
            { 200, { R"({"usage":{"prompt_tokens":-1,"completion_tokens":"x"}})" }, "", false, {} }, false,
            backend_failure::Malformed, false },
    };
    for (const row& row : rows) {
        const answer_listener listener = generate(serve(row.answer), row.streaming);
        ASSERT_TRUE(listener.failure) << row.name;
        EXPECT_STREQ(toText(*listener.failure), toText(row.failure)) << row.name;
        EXPECT_EQ(certainlyNotRun(*listener.failure), row.notRun) << row.name;
    }
    // The server is gone and the client has no open connection to its address, so connecting fails.
    const endpoint closed = serve({});
    m_server.reset();
    EXPECT_EQ(*generate(closed, true).failure, backend_failure::NotReached);
}

TEST_F(BackendTest, ParsesLoadReportsAndRejectsMalformedOnes)
{
    http_model_engine engine(m_client, std::chrono::seconds(1));
    const auto load = [&](const std::string& body) {
        std::optional<std::optional<engine_load>> answer;
        engine.load(serve({ 200, { body }, "", false, {} }), [&](const auto& report) { answer = report; });
        EXPECT_TRUE(m_loop.runUntil([&] { return answer.has_value(); }, maximumWait));
        return *answer;
    };
    const auto good = load(R"({"running":3,"queued":1,"leaving":true,"versions":["m/v1"]})");
    ASSERT_TRUE(good);
    EXPECT_EQ(*good, (engine_load { 3, 1, true, { parseVersionRef("m/v1") } }));
    EXPECT_FALSE(load("{}"));
    EXPECT_FALSE(load(R"({"running":"x","queued":1,"versions":[]})"));
}

TEST_F(BackendTest, ServiceCallReportsWhetherItMayHaveRun)
{
    struct row {
        scripted_answer answer;
        std::optional<backend_failure> failure;
    };
    const std::vector<row> rows {
        { { 200, { "ok" }, "", false, {} }, std::nullopt },
        { { 404, { "no such order" }, "", false, {} }, std::nullopt },
        { { 503, {}, "", false, { { "X-Run", "not_run" } } }, backend_failure::Busy },
        { { 503, { "broken" }, "", false, {} }, std::nullopt },
        { { 200, { "ok" }, "other", false, {} }, backend_failure::RequestIdMismatch },
        { { 200, { "o" }, "", true, {} }, backend_failure::ConnectionLost },
        { { 0, {}, "", false, {} }, backend_failure::ConnectionLost },
    };
    http_routed_service service(m_client, std::chrono::seconds(1));
    for (const row& row : rows) {
        bool ended = false;
        const service_call call { request_id("r1"), "POST", "/orders?x=1", "text/plain", "body", "key", true,
            std::chrono::seconds(2) };
        const auto handle = service.call(
            serve(row.answer), call, [&](const service_answer* answer, std::optional<backend_failure> failure) {
                ended = true;
                EXPECT_EQ(failure, row.failure) << row.answer.status;
                EXPECT_EQ(answer ? answer->status : 0, failure ? 0 : row.answer.status);
            });
        EXPECT_TRUE(m_loop.runUntil([&] { return ended; }, maximumWait));
    }
    EXPECT_EQ(m_lastRequest.target, "/orders?x=1");
    EXPECT_EQ(findHeader(m_lastRequest.headers, "Idempotency-Key"), "key");
}

// Guards against REFUSED at the router's own interface: a call whose first transmission was lost behind the server's
// read was reported as not run, as the server refused the second one.
TEST_F(BackendTest, ARefusalOfARepeatSaysNothingOfTheFirstTransmission)
{
    int requests = 0;
    http_server server(m_loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>& request) {
        const std::string id(findHeader(request->request().headers, "X-Request-Id"));
        ++requests;
        if (requests == 1)
            request->reply(200, { { "X-Request-Id", id } }, "");
        else if (requests == 2)
            request->abort();
        else
            request->reply(503, { { "X-Request-Id", id }, { "X-Run", "not_run" } }, "");
    });
    http_routed_service service(m_client, std::chrono::seconds(1));
    std::vector<std::optional<backend_failure>> ends;
    for (const char* id : { "r1", "r2" }) {
        service_call call;
        call.id = request_id(id);
        call.method = "GET";
        call.target = "/";
        call.timeout = std::chrono::seconds(2);
        const size_t before = ends.size();
        const auto handle = service.call(server.address(), call,
            [&](const service_answer*, std::optional<backend_failure> failure) { ends.push_back(failure); });
        ASSERT_TRUE(m_loop.runUntil([&] { return ends.size() > before; }, maximumWait));
    }
    ASSERT_EQ(requests, 3);
    ASSERT_TRUE(ends[1].has_value());
    EXPECT_FALSE(certainlyNotRun(*ends[1])) << toText(*ends[1]);
}

} // namespace pollen
