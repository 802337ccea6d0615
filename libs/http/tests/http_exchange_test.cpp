#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <http/http_client.h>
#include <http/http_server.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(10);

// A raw socket that sends arbitrary bytes.
class raw_connection {
public:
    explicit raw_connection(const endpoint& server)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        EXPECT_EQ(::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }
    ~raw_connection() { close(); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void write(const std::string& bytes) const { ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    // Appends the bytes that have arrived; returns false once the server has closed the connection.
    bool read(std::string& into) const
    {
        char buffer[4096];
        const ssize_t length = ::recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
        if (length > 0)
            into.append(buffer, static_cast<size_t>(length));
        return length != 0;
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }

private:
    int m_socket;
};

class HttpTest : public testing::Test {
protected:
    http_server& serve(http_server::handler handler, const http_server_limits& limits = {})
    {
        m_server = std::make_unique<http_server>(m_loop, endpoint { "127.0.0.1", 0 }, limits, std::move(handler));
        return *m_server;
    }

    std::pair<exchange_result, http_response> fetch(
        const endpoint& server, const http_request& request, const exchange_options& options = {})
    {
        std::optional<std::pair<exchange_result, http_response>> answer;
        m_client.fetch(server, request, options, [&](const exchange_result& result, const http_response& response) {
            answer = { result, response };
        });
        EXPECT_TRUE(m_loop.runUntil([&] { return answer.has_value(); }, testTimeout));
        return answer.value_or(std::pair<exchange_result, http_response> {});
    }

    // Sends the bytes and returns what arrives until the server closes or the text appears.
    std::string sendAndReceive(raw_connection& connection, const std::string& bytes, const std::string& until)
    {
        std::string received;
        connection.write(bytes);
        m_loop.runUntil([&] { return !connection.read(received) || received.find(until) != std::string::npos; },
            std::chrono::seconds(3));
        return received;
    }

    event_loop m_loop;
    http_client m_client { m_loop };
    std::unique_ptr<http_server> m_server;
};

const auto echo = [](const std::shared_ptr<server_request>& request) {
    request->reply(200, { { "X-Method", request->request().method } }, request->request().body);
};

const http_request post { "POST", "/a?b=c", { { "Content-Type", "text/plain" } }, "hello" };

} // namespace

TEST_F(HttpTest, CarriesARequestAndItsResponse)
{
    const auto [result, response] = fetch(serve(echo).address(), post);
    EXPECT_TRUE(result.ok());
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "hello");
    EXPECT_EQ(findHeader(response.headers, "x-method"), "POST");
}

TEST_F(HttpTest, StreamsPartsInOrder)
{
    const endpoint address = serve([](const std::shared_ptr<server_request>& request) {
        request->startStream(200, {});
        for (const char* part : { "one ", "two ", "three" })
            request->sendPart(part);
        request->endStream();
    }).address();
    const auto [result, response] = fetch(address, post);
    EXPECT_TRUE(result.ok());
    EXPECT_EQ(response.body, "one two three");
}

TEST_F(HttpTest, ARefusedConnectionReportsTheRequestAsNotSent)
{
    const endpoint closed = serve(echo).address();
    m_server.reset();
    const auto [result, response] = fetch(closed, post);
    EXPECT_EQ(result.failure, exchange_failure::ConnectFailed);
    EXPECT_FALSE(result.requestSent);
}

TEST_F(HttpTest, AConnectionClosedWithoutAResponseReportsTheRequestAsSent)
{
    const endpoint address = serve([](const std::shared_ptr<server_request>& request) { request->abort(); }).address();
    const auto [result, response] = fetch(address, post);
    EXPECT_EQ(result.failure, exchange_failure::ConnectionLost);
    EXPECT_TRUE(result.requestSent);
}

TEST_F(HttpTest, ATruncatedStreamFails)
{
    const endpoint address = serve([](const std::shared_ptr<server_request>& request) {
        request->startStream(200, {});
        request->sendPart("half");
        request->callWhenSent([request] { request->abort(); });
    }).address();
    const auto [result, response] = fetch(address, post);
    EXPECT_FALSE(result.ok());
    EXPECT_TRUE(result.responseStarted);
}

TEST_F(HttpTest, ASilentServerTimesOut)
{
    std::vector<std::shared_ptr<server_request>> held;
    const endpoint address
        = serve([&](const std::shared_ptr<server_request>& request) { held.push_back(request); }).address();
    exchange_options options;
    options.timeout = std::chrono::milliseconds(50);
    const auto [result, response] = fetch(address, post, options);
    EXPECT_EQ(result.failure, exchange_failure::TimedOut);
    EXPECT_TRUE(result.requestSent);
}

TEST_F(HttpTest, AResponseBeyondTheBodyLimitFails)
{
    const endpoint address = serve([](const std::shared_ptr<server_request>& request) {
        request->reply(200, {}, std::string(100000, 'x'));
    }).address();
    exchange_options options;
    options.maximumBodyBytes = 1000;
    EXPECT_EQ(fetch(address, post, options).first.failure, exchange_failure::ResponseTooLarge);
}

TEST_F(HttpTest, DetectsACallerThatHangsUpBeforeItsResponse)
{
    bool hungUp = false;
    std::shared_ptr<server_request> held;
    const endpoint address = serve([&](const std::shared_ptr<server_request>& request) {
        held = request;
        request->setHangUpCallback([&] { hungUp = true; });
    }).address();
    raw_connection caller(address);
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(m_loop.runUntil([&] { return held != nullptr; }, testTimeout));
    EXPECT_EQ(m_server->openRequests(), 1U);
    caller.close();
    EXPECT_TRUE(m_loop.runUntil([&] { return hungUp; }, testTimeout));
    EXPECT_EQ(m_server->openRequests(), 0U);
    held->reply(200, {}, "too late");
}

TEST_F(HttpTest, ACallbackThatHoldsItsOwnRequestDoesNotLeakIt)
{
    std::weak_ptr<server_request> kept;
    const endpoint address = serve([&](const std::shared_ptr<server_request>& request) {
        kept = request;
        request->setHangUpCallback([request] {});
        request->callWhenSent([request] {});
        request->reply(200, {}, "done");
    }).address();
    EXPECT_EQ(fetch(address, post).second.body, "done");
    EXPECT_TRUE(m_loop.runUntil([&] { return kept.expired(); }, testTimeout));
}

TEST_F(HttpTest, APipelinedRequestWaitsForThePrecedingResponse)
{
    std::vector<std::shared_ptr<server_request>> held;
    const endpoint address
        = serve([&](const std::shared_ptr<server_request>& request) { held.push_back(request); }).address();
    raw_connection caller(address);
    const std::string two = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
    sendAndReceive(caller, two, "never");
    ASSERT_EQ(held.size(), 1U);
    held[0]->reply(200, {}, "first");
    ASSERT_TRUE(m_loop.runUntil([&] { return held.size() == 2; }, testTimeout));
    held[1]->reply(200, {}, "second");
    EXPECT_NE(sendAndReceive(caller, "", "second").find("second"), std::string::npos);
}

TEST_F(HttpTest, BadRequestsGetAnErrorOrACloseAndLeaveTheServerWorking)
{
    http_server_limits limits;
    limits.maximumHeaderBytes = 1024;
    limits.maximumBodyBytes = 1024;
    const endpoint address = serve(echo, limits).address();
    const std::vector<std::string> bad {
        "\r\n\r\n",
        "nonsense\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'),
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    };
    for (const std::string& bytes : bad) {
        raw_connection caller(address);
        const std::string answer = sendAndReceive(caller, bytes, "\r\n\r\n");
        EXPECT_EQ(answer.find(" 200 "), std::string::npos) << bytes.substr(0, 60);
        EXPECT_EQ(fetch(address, post).second.status, 200) << "after " << bytes.substr(0, 60);
    }
}

TEST_F(HttpTest, AnExchangeMayBeDestroyedInEachOfItsCallbacks)
{
    const endpoint address = serve([](const std::shared_ptr<server_request>& request) {
        request->startStream(200, {});
        request->sendPart("part");
        request->endStream();
    }).address();
    struct destroying_listener final : exchange_listener {
        void onHead(int, const http_headers&) override { destroyIfAt(0); }
        void onData(std::string_view) override { destroyIfAt(1); }
        void onFinished(const exchange_result&) override { destroyIfAt(2); }
        void destroyIfAt(int step)
        {
            if (step != destroyAt)
                return;
            handle.reset();
            destroyed = true;
        }
        int destroyAt = 0;
        bool destroyed = false;
        std::unique_ptr<exchange> handle;
    };
    for (const int step : { 0, 1, 2 }) {
        destroying_listener listener;
        listener.destroyAt = step;
        listener.handle = m_client.start(address, post, {}, listener);
        EXPECT_TRUE(m_loop.runUntil([&] { return listener.destroyed; }, testTimeout)) << step;
        EXPECT_EQ(fetch(address, post).second.body, "part");
    }
}

TEST_F(HttpTest, OnlyARepeatableRequestIsRetriedWhenAKeptConnectionWasClosed)
{
    for (const bool repeatable : { true, false }) {
        exchange_options options;
        options.repeatable = repeatable;
        const endpoint address = serve(echo).address();
        EXPECT_TRUE(fetch(address, post, options).first.ok());
        // The loop does not run between the close and the next request, so the client has not seen the close yet.
        m_server.reset();
        m_server = std::make_unique<http_server>(m_loop, address, http_server_limits {}, echo);
        const auto [result, response] = fetch(address, post, options);
        EXPECT_EQ(result.ok(), repeatable);
        EXPECT_TRUE(result.requestSent);
    }
}

TEST_F(HttpTest, AFreshConnectionIsNeverAReusedOne)
{
    const endpoint address = serve(echo).address();
    EXPECT_TRUE(fetch(address, post).first.ok());
    m_server.reset();
    m_server = std::make_unique<http_server>(m_loop, address, http_server_limits {}, echo);
    exchange_options options;
    options.freshConnection = true;
    EXPECT_TRUE(fetch(address, post, options).first.ok());
}

TEST(HttpMessage, FindsQueryParameters)
{
    EXPECT_EQ(queryParameter("/x?from=3&to=4", "to"), "4");
    EXPECT_EQ(queryParameter("/x?from=3", "to"), "");
    EXPECT_EQ(queryParameter("/x", "from"), "");
    EXPECT_EQ(targetPath("/x?from=3"), "/x");
}

} // namespace pollen
