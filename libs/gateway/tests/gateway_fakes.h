#pragma once

#include <base/digest.h>
#include <gateway/caller_gateway.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <platform/memory_record_log.h>
#include <policy/cheapest_sufficient_policy.h>

namespace pollen {

// A caller's request without a network connection. Records the answer.
class fake_request final : public server_request {
public:
    explicit fake_request(http_request message)
        : m_message(std::move(message))
    {
    }

    const http_request& request() const override { return m_message; }
    const std::string& callerAddress() const override { return m_address; }

    void reply(int replyStatus, const http_headers& replyHeaders, std::string_view replyBody) override
    {
        EXPECT_EQ(status, 0) << "answered twice";
        status = replyStatus;
        headers = replyHeaders;
        body = replyBody;
        ended = true;
    }
    void startUnframedStream(int replyStatus, const http_headers& replyHeaders) override
    {
        startStream(replyStatus, replyHeaders);
    }
    void startStream(int replyStatus, const http_headers& replyHeaders) override
    {
        EXPECT_EQ(status, 0) << "answered twice";
        status = replyStatus;
        headers = replyHeaders;
    }
    void sendPart(std::string_view bytes) override { body += bytes; }
    void endStream() override { ended = true; }
    void abort() override { ended = true; }
    size_t unsentBytes() const override { return unsent; }
    void setHangUpCallback(std::function<void()> callback) override { hangUp = std::move(callback); }
    void callWhenSent(std::function<void()> callback) override { whenSent = std::move(callback); }

    std::string header(const char* name) const { return std::string(findHeader(headers, name)); }
    // Error type and run state of the answer, such as "wrong_key not_run".
    std::string error() const
    {
        const auto json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("error"))
            return "no error";
        EXPECT_EQ(json["error"]["run"], header("X-Pollen-Run"));
        return json["error"]["type"].get<std::string>() + " " + json["error"]["run"].get<std::string>();
    }

    int status = 0;
    http_headers headers;
    std::string body;
    bool ended = false;
    size_t unsent = 0;
    std::function<void()> hangUp;
    std::function<void()> whenSent;

private:
    http_request m_message;
    std::string m_address = "127.0.0.1";
};

// A model engine whose answers are supplied by the test.
class fake_engine final : public model_engine {
public:
    struct call_state {
        engine_request request;
        endpoint server;
        engine_listener* listener;
        bool alive = true;
        bool paused = false;
    };

    class call final : public engine_call {
    public:
        explicit call(std::shared_ptr<call_state> state)
            : m_state(std::move(state))
        {
        }
        ~call() override { m_state->alive = false; }
        call(const call&) = delete;
        call& operator=(const call&) = delete;
        void pause() override { m_state->paused = true; }
        void resume() override { m_state->paused = false; }

    private:
        std::shared_ptr<call_state> m_state;
    };

    std::unique_ptr<engine_call> generate(
        const endpoint& server, const engine_request& request, engine_listener& listener) override
    {
        calls.push_back(std::make_shared<call_state>(call_state { request, server, &listener }));
        return std::make_unique<call>(calls.back());
    }
    void load(const endpoint&, load_callback callback) override { callback(std::nullopt); }

    std::vector<std::shared_ptr<call_state>> calls;
};

// A routed service whose answers are supplied by the test.
class fake_service final : public routed_service {
public:
    class handle final : public service_handle { };

    std::unique_ptr<service_handle> call(const endpoint&, const service_call& call, callback callback) override
    {
        calls.push_back(call);
        callbacks.push_back(std::move(callback));
        return std::make_unique<handle>();
    }

    void answer(size_t index, int status, const std::string& body)
    {
        const service_answer answer { status, "text/plain", body };
        std::exchange(callbacks[index], nullptr)(&answer, std::nullopt);
    }
    void fail(size_t index, backend_failure failure) { std::exchange(callbacks[index], nullptr)(nullptr, failure); }

    std::vector<service_call> calls;
    std::vector<callback> callbacks;
};

// Records submitted samples and returns preset ratings.
class fake_rating_service final : public rating_service {
public:
    void submit(const rating_sample& sample) override { samples.push_back(sample); }
    void ratings(uint64_t from, ratings_callback callback) override
    {
        reads.push_back(from);
        callback(answer);
    }

    std::vector<rating_sample> samples;
    std::vector<uint64_t> reads;
    std::optional<std::vector<rating>> answer;
};

inline const char* const gatewayFleet = R"([fleet]
name = "test"
currency = "KES"

[[class]]
name = "quick"
priority = 3
quality_target = 0.7
deadline = "5s"

[[model]]
name = "small"

[[model.version]]
name = "v1"
input_cost = 1
output_cost = 2
prompt_tokens_per_second = 10000
output_tokens_per_second = 1000
quality = { quick = 0.8 }

[[model.version]]
name = "v2"
input_cost = 5
output_cost = 5
prompt_tokens_per_second = 10000
output_tokens_per_second = 1000
quality = { quick = 0.9 }

[[service]]
name = "orders"
cost_per_call = 0.5
timeout = "5s"
non_repeatable = ["POST /orders", "GET /once"]

[[service]]
name = "closed"

[[team]]
name = "sales"
key_sha256 = ["SALES"]
default_class = "quick"
allowed = ["small/*"]
services = ["orders"]
maximum_requests = 2

[[team]]
name = "other"
key_sha256 = ["OTHER"]
default_class = "quick"
allowed = []

[[backend_server]]
id = "engine-1"
failure_domain = "a"
address = "127.0.0.1:1"
versions = ["small/v1"]

[[backend_server]]
id = "engine-2"
failure_domain = "b"
address = "127.0.0.1:2"
versions = ["small/v1"]

[[backend_server]]
id = "engine-3"
failure_domain = "b"
address = "127.0.0.1:3"
versions = ["small/v2"]

[[backend_server]]
id = "orders-1"
failure_domain = "a"
address = "127.0.0.1:4"
service = "orders"

[[backend_server]]
id = "orders-2"
failure_domain = "b"
address = "127.0.0.1:5"
service = "orders"
)";

// The gateway of one daemon with fake engines, services and ratings. Team "sales" has the key "key", team "other" the
// key "other".
class GatewayTest : public testing::Test {
protected:
    GatewayTest()
    {
        m_settings.id = instance_id("d1");
        m_settings.sessionSecret = "0123456789abcdef";
        install({});
        m_claims.start();
    }

    // Installs the test fleet with one part of its text replaced.
    void install(const std::pair<std::string, std::string>& replacement)
    {
        std::string text = gatewayFleet;
        for (const auto& [from, to] : { std::pair<std::string, std::string> { "SALES", sha256Hex("key") },
                 { "OTHER", sha256Hex("other") }, replacement }) {
            if (!from.empty())
                text.replace(text.find(from), from.size(), to);
        }
        m_tables.install(std::make_shared<const fleet_document>(parseFleetDocument(text, "test")));
    }

    std::shared_ptr<fake_request> send(http_request message)
    {
        auto request = std::make_shared<fake_request>(std::move(message));
        m_gateway.handle(request);
        runLoop();
        return request;
    }

    static http_request chat(const std::string& extra = "", http_headers headers = {})
    {
        headers.emplace_back("Authorization", "Bearer key");
        return { "POST", "/v1/chat/completions", std::move(headers),
            R"({"model":"auto","max_tokens":10,"messages":[{"role":"user","content":"hello"}])" + extra + "}" };
    }

    static http_request order(const std::string& key, const std::string& body = "3 combs")
    {
        http_request request { "POST", "/services/orders/orders", { { "Authorization", "Bearer key" } }, body };
        if (!key.empty())
            request.headers.emplace_back("Idempotency-Key", key);
        return request;
    }

    void runLoop(int milliseconds = 3)
    {
        m_loop.runUntil([] { return false; }, std::chrono::milliseconds(milliseconds));
    }

    fake_engine::call_state& engineCall(size_t index) { return *m_engine.calls.at(index); }

    void answerEngine(size_t index, const std::string& bytes)
    {
        engineCall(index).listener->onBytes(bytes);
        engineCall(index).listener->onAnswered({ 3, 10 });
        runLoop();
    }

    void failEngine(size_t index, backend_failure failure)
    {
        engineCall(index).listener->onFailed(failure, "detail");
        runLoop();
    }

    // Flushes the bills and returns all bills in the log.
    std::vector<bill> bills()
    {
        m_clock.advance(std::chrono::seconds(1));
        m_bills.tick(m_clock.now());
        std::optional<read_result> answer;
        m_log.read(billStream, 1, duration(0), [&](const read_result& result) { answer = result; });
        m_loop.runUntil([&] { return answer.has_value(); }, std::chrono::seconds(10));
        std::vector<bill> result;
        for (const log_record& record : answer->records)
            result.push_back(decodeBill(record.value));
        return result;
    }

    event_loop m_loop;
    manual_clock m_clock;
    random_source m_random { 1 };
    null_logger m_logger;
    daemon_settings m_settings;
    fleet_tables m_tables;
    cheapest_sufficient_policy m_policy;
    fake_engine m_engine;
    fake_service m_service;
    memory_record_log m_log { m_loop, m_clock, 1000 };
    null_peer_transport m_transport;
    peer_table m_peers { instance_id("d1"), std::chrono::seconds(3) };
    peer_node m_node { { instance_id("d1"), failure_domain_name("a"), 1, "secret" }, m_transport, m_peers, m_clock,
        m_random, m_logger };
    bill_ledger m_bills { m_loop, m_node, m_peers, m_log, m_random, m_clock, m_logger };
    claim_ledger m_claims { m_loop, m_log, m_node, m_peers, m_random, m_clock, m_logger };
    gateway_metrics m_metrics;
    decision_journal m_journal { 100 };
    retry_budget m_retries { 0.1, 20 };
    fake_rating_service m_ratingService;
    rating_system m_ratings { m_ratingService, m_random };
    gateway_dependencies m_dependencies { m_loop, m_clock, m_random, m_logger, m_settings, m_tables, m_policy, m_engine,
        m_service, m_bills, m_claims, m_metrics, m_journal, m_retries, &m_ratings };
    caller_gateway m_gateway { m_dependencies };
};

} // namespace pollen
