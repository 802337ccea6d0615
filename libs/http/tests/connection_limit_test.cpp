#include <gtest/gtest.h>
#include <http/http_client.h>
#include <http/http_server.h>
#include <netinet/in.h>
#include <optional>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(5);

// A server that answers each request once it is told to.
class ConnectionLimitTest : public testing::Test {
protected:
    std::optional<http_response>& send(const std::string& body)
    {
        auto& reply = m_replies.emplace_back(std::make_unique<std::optional<http_response>>());
        m_client.fetch(m_server.address(), { "POST", "/", {}, body }, { .freshConnection = true },
            [&slot = *reply](const exchange_result&, const http_response& response) { slot = response; });
        return *reply;
    }
    bool runUntil(const std::function<bool()>& done) { return m_loop.runUntil(done, testTimeout); }

    static void expectNotRun(const std::optional<http_response>& reply)
    {
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, 503);
        EXPECT_EQ(findHeader(reply->headers, "Retry-After"), "1");
        EXPECT_EQ(findHeader(reply->headers, "Connection"), "close");
        EXPECT_NE(reply->body.find("\"run\":\"not_run\""), std::string::npos) << reply->body;
    }

    event_loop m_loop;
    os_clock m_time;
    std::vector<std::shared_ptr<server_request>> m_requests;
    std::shared_ptr<connection_budget> m_budget
        = std::make_shared<connection_budget>(connection_limits { 2, 100000, 100000 }, m_time);
    http_server m_server { m_loop, { "127.0.0.1", 0 }, {},
        [this](std::shared_ptr<server_request> request) { m_requests.push_back(std::move(request)); }, m_budget };
    http_client m_client { m_loop };
    std::vector<std::unique_ptr<std::optional<http_response>>> m_replies;
};

} // namespace

// Guards against a refusal at the limits that does not say that the request has not run, and against bytes that stay
// counted after their request has ended.
TEST_F(ConnectionLimitTest, RefusalsSayThatTheRequestHasNotRun)
{
    const auto& large = send(std::string(50000, 'x'));
    ASSERT_TRUE(runUntil([&] { return large.has_value(); }));
    expectNotRun(large);
    EXPECT_EQ(m_budget->requestBytes(), 0U);
    ASSERT_TRUE(runUntil([&] { return m_budget->connections() == 0; }));
    const auto& first = send(std::string(10000, 'x'));
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 1; }));
    send("");
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 2; }));
    EXPECT_GT(m_budget->requestBytes(), 30000U);
    const auto& third = send("");
    ASSERT_TRUE(runUntil([&] { return third.has_value(); }));
    expectNotRun(third);
    EXPECT_EQ(m_requests.size(), 2U);
    m_requests.front()->reply(200, {}, "ok");
    ASSERT_TRUE(runUntil([&] { return first.has_value(); }));
    EXPECT_EQ(first->status, 200);
    EXPECT_EQ(m_budget->requestBytes(), 0U);
}

// Guards against a burst of connections that are all accepted in one turn of the event loop, while the descriptors of
// those they displace are freed only in the next one.
TEST_F(ConnectionLimitTest, ABurstOfConnectionsKeepsToTheDescriptors)
{
    constexpr int callers = 400;
    constexpr rlim_t spareDescriptors = 150;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_server.address().port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::vector<int> sockets;
    for (int i = 0; i < callers; ++i) {
        sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        ASSERT_EQ(::connect(sockets.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    }
    rlimit former {};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &former), 0);
    const rlimit lowered { static_cast<rlim_t>(sockets.back()) + spareDescriptors, former.rlim_max };
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
    const auto closed = [&] { return m_budget->count(limit_action::IdleClosed); };
    const bool accepted
        = runUntil([&] { return closed() >= callers - 2 || m_budget->count(limit_action::AcceptFailed) > 0; });
    setrlimit(RLIMIT_NOFILE, &former);
    for (const int socket : sockets)
        ::close(socket);
    EXPECT_TRUE(accepted);
    EXPECT_EQ(m_budget->count(limit_action::AcceptFailed), 0U);
}

} // namespace pollen
