#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <http/http_server.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(5);
constexpr duration idleTimeout = std::chrono::milliseconds(300);
constexpr duration stepInterval = std::chrono::milliseconds(10);

class ProgressTimeoutTest : public testing::Test {
protected:
    void TearDown() override { ::close(m_socket); }

    void connect(http_server& server)
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.address().port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        ASSERT_EQ(::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }

    void send(const std::string& bytes) { ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    // Runs the steps until the server has closed the connection.
    bool isClosedBy(http_server& server, const std::function<void()>& step)
    {
        timer steps(m_loop, step);
        steps.startRepeating(stepInterval);
        m_loop.runUntil([&] { return server.openConnections() == 1; }, testTimeout);
        return m_loop.runUntil([&] { return server.openConnections() == 0; }, testTimeout);
    }

    event_loop m_loop;
    int m_socket = -1;
};

http_server_limits shortLimits()
{
    http_server_limits limits;
    limits.idleTimeout = idleTimeout;
    return limits;
}

} // namespace

// Guards against a caller that keeps its connection by single bytes of framing, each of which started the time-out
// anew.
TEST_F(ProgressTimeoutTest, FramingIsNoProgressOfARequest)
{
    http_server server(m_loop, { "127.0.0.1", 0 }, shortLimits(), [](const std::shared_ptr<server_request>&) {});
    connect(server);
    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;");
    EXPECT_TRUE(isClosedBy(server, [&] { send("x"); }));
}

// Guards against the loss of a slow request that does make progress.
TEST_F(ProgressTimeoutTest, ABodyThatArrivesByteByByteIsAwaited)
{
    constexpr size_t bodyBytes = 60;
    size_t received = 0;
    http_server server(m_loop, { "127.0.0.1", 0 }, shortLimits(), [&](const std::shared_ptr<server_request>& request) {
        received = request->request().body.size();
        request->reply(200, {}, "");
    });
    connect(server);
    send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
    timer steps(m_loop, [&] { send("x"); });
    steps.startRepeating(stepInterval);
    EXPECT_TRUE(m_loop.runUntil([&] { return received == bodyBytes; }, testTimeout));
}

// Guards against a caller that has stopped reading: each part of its answer started the time-out anew.
TEST_F(ProgressTimeoutTest, PartsOfAnAnswerAreNoProgressOfItsCaller)
{
    constexpr size_t maximumUnsentBytes = 16U << 20;
    const std::string part(1U << 20, 'x');
    std::shared_ptr<server_request> pending;
    http_server server(m_loop, { "127.0.0.1", 0 }, shortLimits(), [&](const std::shared_ptr<server_request>& request) {
        pending = request;
        pending->startStream(200, {});
    });
    connect(server);
    send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(isClosedBy(server, [&] {
        if (pending)
            pending->sendPart(pending->unsentBytes() < maximumUnsentBytes ? part : std::string("x"));
    }));
}

} // namespace pollen
