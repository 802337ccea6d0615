#include "gateway_fakes.h"

#include <gateway/operator_gateway.h>

namespace pollen {

TEST_F(GatewayTest, ServesHealthMetricsStatusAndExplanationsToOperators)
{
    operator_gateway operators({ m_gateway, m_dependencies, m_node, m_peers, nullptr });
    const auto ask = [&](const char* method, const std::string& target) {
        auto request = std::make_shared<fake_request>(http_request { method, target, {}, "" });
        operators.handle(*request);
        return request;
    };
    const auto running = send(chat());
    answerEngine(0, R"({"choices":[]})");
    const std::string id = running->header("X-Request-Id");
    struct row {
        const char* method;
        std::string target;
        int status;
        const char* part;
    };
    for (const row& row : { row { "GET", "/healthz", 200, "ok" }, row { "GET", "/readyz", 200, "ready" },
             row { "GET", "/metrics", 200, "pollen_requests_total{class=\"quick\",outcome=\"ok\",team=\"sales\"} 1" },
             row { "GET", "/metrics", 200, "pollen_bills_waiting 1" },
             row { "GET", "/admin/explain/" + id, 200, "\"outcome\":\"chosen\"" },
             row { "GET", "/admin/explain/none", 404, "unknown_route" },
             row { "GET", "/nowhere", 404, "unknown_route" }, row { "POST", "/admin/status", 404, "unknown_route" } }) {
        const auto answer = ask(row.method, row.target);
        EXPECT_EQ(answer->status, row.status) << row.target;
        EXPECT_NE(answer->body.find(row.part), std::string::npos) << row.target << "\n" << answer->body;
    }
    const auto status = nlohmann::json::parse(ask("GET", "/admin/status")->body);
    EXPECT_EQ(status["id"], "d1");
    EXPECT_EQ(status["backend_servers"].size(), 5U);
    m_gateway.setDraining(m_clock.now() + std::chrono::hours(1));
    EXPECT_EQ(ask("GET", "/readyz")->status, 503);
    EXPECT_EQ(nlohmann::json::parse(ask("GET", "/admin/status")->body)["draining"], true);
}

} // namespace pollen
