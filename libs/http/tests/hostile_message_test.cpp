#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <http/http_client.h>
#include <http/http_server.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(5);

// Connects a raw socket to a server.
int connectTo(const endpoint& server)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    EXPECT_EQ(::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    return socket;
}

// A server that answers whatever a connection sends with fixed bytes and then keeps it open, closes it or resets it.
class scripted_server {
public:
    enum class connection_end { KeepOpen, Close, Reset };

    scripted_server(std::string answer, connection_end connectionEnd)
        : m_answer(std::move(answer))
        , m_connectionEnd(connectionEnd)
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), length), 0);
        EXPECT_EQ(::listen(m_listener, 16), 0);
        EXPECT_EQ(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length), 0);
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~scripted_server()
    {
        for (const int socket : m_open)
            ::close(socket);
        ::close(m_listener);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    const endpoint& address() const { return m_address; }
    size_t connections() const { return m_connections; }
    // Connections that the client has reset.
    size_t resets() const { return m_resets; }

    // Accepts connections and answers pending requests without blocking.
    void poll()
    {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (socket >= 0) {
            ++m_connections;
            m_open.push_back(socket);
        }
        for (int& open : m_open)
            answer(open);
        std::erase(m_open, -1);
    }

private:
    void answer(int& socket)
    {
        char buffer[65536];
        const ssize_t length = ::recv(socket, buffer, sizeof buffer, MSG_DONTWAIT);
        m_resets += length < 0 && errno == ECONNRESET ? 1 : 0;
        if (length < 0)
            return;
        if (length > 0)
            ::send(socket, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        if (length > 0 && m_connectionEnd == connection_end::KeepOpen)
            return;
        if (m_connectionEnd == connection_end::Reset) {
            const linger atOnce { 1, 0 };
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        }
        ::close(std::exchange(socket, -1));
    }

    std::string m_answer;
    connection_end m_connectionEnd;
    int m_listener;
    endpoint m_address;
    std::vector<int> m_open;
    size_t m_connections = 0;
    size_t m_resets = 0;
};

using connection_end = scripted_server::connection_end;

class HostileMessageTest : public testing::Test {
protected:
    // The sockets of the tests are not registered with the event loop; the timer makes runUntil() poll them.
    void SetUp() override { m_pollTimer.startRepeating(std::chrono::milliseconds(1)); }

    std::pair<exchange_result, http_response> fetch(
        scripted_server& server, const http_request& request, const exchange_options& options = {})
    {
        std::optional<std::pair<exchange_result, http_response>> answer;
        m_client.fetch(
            server.address(), request, options, [&](const exchange_result& result, const http_response& response) {
                answer = { result, response };
            });
        EXPECT_TRUE(m_loop.runUntil(
            [&] {
                server.poll();
                return answer.has_value();
            },
            testTimeout));
        return answer.value_or(std::pair<exchange_result, http_response> {});
    }

    event_loop m_loop;
    timer m_pollTimer { m_loop, [] {} };
    http_client m_client { m_loop };
};

const http_request get { "GET", "/", {}, "" };

} // namespace

TEST_F(HostileMessageTest, ReadsValidPartsAndRejectsMalformedResponses)
{
    struct hostile_response {
        const char* what;
        std::string bytes;
        connection_end connectionEnd;
        exchange_failure failure;
        std::string body;
    };
    const exchange_failure none = exchange_failure::None;
    const exchange_failure lost = exchange_failure::ConnectionLost;
    const exchange_failure malformed = exchange_failure::MalformedResponse;
    const std::vector<hostile_response> cases {
        { "no length, ended by close", "HTTP/1.1 200 OK\r\n\r\nwhole", connection_end::Close, none, "whole" },
        { "no length, ended by reset", "HTTP/1.1 200 OK\r\n\r\nwhole", connection_end::Reset, lost, "whole" },
        { "shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", connection_end::Close, lost,
            "half" },
        { "chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            connection_end::Close, lost, "half" },
        { "a chunk that breaks off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
            connection_end::Close, lost, "half" },
        { "bytes behind the response", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour and more",
            connection_end::KeepOpen, none, "four" },
        { "not HTTP", "\x16\x03\x01garbage that is no answer\r\n\r\n", connection_end::KeepOpen, malformed, "" },
        { "two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfour",
            connection_end::KeepOpen, malformed, "" },
        { "a signed length", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nfour", connection_end::KeepOpen, malformed,
            "" },
        { "length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            connection_end::KeepOpen, malformed, "" },
        { "a bad chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", connection_end::KeepOpen,
            malformed, "" },
        { "an interim response first", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            connection_end::KeepOpen, none, "ok" },
        { "no content", "HTTP/1.1 204 No Content\r\n\r\n", connection_end::KeepOpen, none, "" },
        { "an extended chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;name=value\r\nok\r\n0\r\nTrailer: x\r\n\r\n",
            connection_end::KeepOpen, none, "ok" },
        { "nothing", "", connection_end::Close, lost, "" },
    };
    for (const hostile_response& response : cases) {
        scripted_server server(response.bytes, response.connectionEnd);
        const auto [result, answer] = fetch(server, get);
        EXPECT_EQ(result.failure, response.failure) << response.what;
        EXPECT_EQ(answer.body, response.body) << response.what;
    }
}

// Guards against a status below 100 that was skipped like an interim response until the time-out, and against one above
// 599 that was passed on.
TEST_F(HostileMessageTest, AStatusOutsideTheClassesIsMalformed)
{
    for (const char* status : { "000", "099", "600", "999", "99", "1000", "20", "2 0", "-20", "abc", "" }) {
        const std::string bytes = std::string("HTTP/1.1 ") + status + " No\r\nContent-Length: 4\r\n\r\nfour";
        scripted_server server(bytes, connection_end::KeepOpen);
        for (size_t turn = 1; turn <= 2; ++turn) {
            const auto [result, answer] = fetch(server, get);
            EXPECT_EQ(result.failure, exchange_failure::MalformedResponse) << status;
            EXPECT_FALSE(result.responseStarted) << status;
            EXPECT_EQ(answer, http_response {}) << status;
            EXPECT_EQ(server.connections(), turn) << "the connection must not be reused after status " << status;
        }
    }
    for (const char* status : { "200", "599" }) {
        const std::string bytes = std::string("HTTP/1.1 ") + status + " Yes\r\nContent-Length: 4\r\n\r\nfour";
        scripted_server server(bytes, connection_end::KeepOpen);
        EXPECT_EQ(fetch(server, get).second.status, std::stoi(status));
    }
}

TEST_F(HostileMessageTest, AResponseToAnotherRequestIsSkipped)
{
    const std::string late = "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 5\r\n\r\nwrong";
    const std::string own = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright";
    scripted_server server(late + own, connection_end::KeepOpen);
    exchange_options options;
    options.echoHeader = "X-Id";
    options.echoValue = "mine";
    EXPECT_EQ(fetch(server, get, options).second.body, "right");
    EXPECT_EQ(fetch(server, get, options).second.body, "right");
    EXPECT_EQ(server.connections(), 2U)
        << "a connection that received a response to another request must not be reused";
}

// Guards against REFUSED and TWICE: a server wrote its refusal of a request once more. The same request, sent again on
// that connection, was then taken for refused while the server ran it.
TEST_F(HostileMessageTest, ARequestIsNotSentAgainOnAConnectionThatHasCarriedIt)
{
    scripted_server server("HTTP/1.1 503 Full\r\nX-Id: mine\r\nContent-Length: 0\r\n\r\n", connection_end::KeepOpen);
    exchange_options options;
    options.echoHeader = "X-Id";
    options.echoValue = "mine";
    EXPECT_EQ(fetch(server, get, options).second.status, 503);
    EXPECT_EQ(fetch(server, get, options).second.status, 503);
    EXPECT_EQ(server.connections(), 2U);
}

// Guards against the same with a refusal that names no request: on a kept connection it may belong to an earlier one.
TEST_F(HostileMessageTest, AResponseWithoutItsRequestIsNoAnswerOnAKeptConnection)
{
    scripted_server server("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", connection_end::KeepOpen);
    exchange_options options;
    options.echoHeader = "X-Id";
    options.echoValue = "first";
    EXPECT_EQ(fetch(server, get, options).first.failure, exchange_failure::None);
    options.echoValue = "second";
    EXPECT_EQ(fetch(server, get, options).first.failure, exchange_failure::MalformedResponse);
    EXPECT_EQ(server.connections(), 1U);
}

TEST_F(HostileMessageTest, AnOversizedResponseFailsOnceEvenIfTheServerCloses)
{
    exchange_options options;
    options.maximumBodyBytes = 10;
    for (const connection_end connectionEnd :
        { connection_end::KeepOpen, connection_end::Close, connection_end::Reset }) {
        scripted_server server("HTTP/1.1 200 OK\r\n\r\n" + std::string(5000, 'x'), connectionEnd);
        EXPECT_EQ(fetch(server, get, options).first.failure, exchange_failure::ResponseTooLarge);
        m_loop.runUntil([] { return false; }, std::chrono::milliseconds(20));
    }
}

TEST_F(HostileMessageTest, AnEarlyResponseIsReadAndTheConnectionIsNotReused)
{
    scripted_server server("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig", connection_end::KeepOpen);
    const http_request large { "POST", "/", {}, std::string(32U << 20, 'x') };
    EXPECT_EQ(fetch(server, large).second.status, 413);
    fetch(server, get);
    EXPECT_EQ(server.connections(), 2U);
}

TEST_F(HostileMessageTest, ConnectionReuseFollowsTheServersKeepAliveTimeout)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    scripted_server keeps(answer + "Keep-Alive: timeout=10\r\n\r\n", connection_end::KeepOpen);
    scripted_server closes(answer + "Connection: close\r\n\r\n", connection_end::KeepOpen);
    scripted_server expiresAtOnce(answer + "Keep-Alive: timeout=0\r\n\r\n", connection_end::KeepOpen);
    for (scripted_server* server : { &keeps, &closes, &expiresAtOnce }) {
        fetch(*server, get);
        fetch(*server, get);
    }
    EXPECT_EQ(keeps.connections(), 1U);
    EXPECT_EQ(closes.connections(), 2U);
    EXPECT_EQ(expiresAtOnce.connections(), 2U);
}

TEST_F(HostileMessageTest, AnAmbiguousRequestIsNotHandled)
{
    size_t handled = 0;
    http_server server(m_loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>& request) {
        ++handled;
        request->reply(200, {}, request->request().body);
    });
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<std::string> requests {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 37\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nfour" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\nHost: a\nContent-Length: 4\n\nfour" + smuggled,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nfour" + smuggled,
    };
    for (const std::string& bytes : requests) {
        const int caller = connectTo(server.address());
        ::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        std::string answer;
        m_loop.runUntil(
            [&] {
                char buffer[4096];
                const ssize_t length = ::recv(caller, buffer, sizeof buffer, MSG_DONTWAIT);
                if (length > 0)
                    answer.append(buffer, static_cast<size_t>(length));
                return length == 0;
            },
            std::chrono::milliseconds(200));
        ::close(caller);
        EXPECT_EQ(handled, 0U) << bytes.substr(0, 90);
        EXPECT_EQ(answer.find(" 200 "), std::string::npos) << bytes.substr(0, 90);
    }
}

TEST_F(HostileMessageTest, AResponseInProgressWhenTheServerStartsClosingEndsItsConnection)
{
    std::vector<std::shared_ptr<server_request>> held;
    http_server server(m_loop, { "127.0.0.1", 0 }, {},
        [&](const std::shared_ptr<server_request>& request) { held.push_back(request); });
    const int caller = connectTo(server.address());
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    ::send(caller, request.data(), request.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(m_loop.runUntil([&] { return held.size() == 1; }, testTimeout));
    held.front()->startStream(200, {});
    server.setClosing(true);
    held.front()->endStream();
    ::send(caller, request.data(), request.size(), MSG_NOSIGNAL);
    m_loop.runUntil([&] { return server.openConnections() == 0; }, std::chrono::milliseconds(300));
    EXPECT_EQ(held.size(), 1U);
    ::close(caller);
}

TEST_F(HostileMessageTest, ClosingIdleConnectionsLeavesBusyOnesOpen)
{
    std::shared_ptr<server_request> held;
    http_server server(
        m_loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>& request) { held = request; });
    const int idle = connectTo(server.address());
    const int busy = connectTo(server.address());
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    ::send(busy, request.data(), request.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(m_loop.runUntil([&] { return held && server.openConnections() == 2; }, testTimeout));
    server.closeIdleConnections();
    EXPECT_EQ(server.openConnections(), 1U);
    held->reply(200, {}, "done");
    bool answered = false;
    m_loop.runUntil(
        [&] {
            char buffer[4096];
            answered = answered || ::recv(busy, buffer, sizeof buffer, MSG_DONTWAIT) > 0;
            return answered;
        },
        testTimeout);
    EXPECT_TRUE(answered);
    ::close(idle);
    ::close(busy);
}

// Guards against TWICE: a request that goes on elsewhere while its first server still runs it. A server may take an
// orderly close for the end of the request alone.
TEST_F(HostileMessageTest, AServerSeesAResetWhenItsRequestIsCancelled)
{
    class ignoring_listener final : public exchange_listener {
    public:
        void onHead(int, const http_headers&) override { }
        void onData(std::string_view) override { }
        void onFinished(const exchange_result&) override { }
    };
    ignoring_listener listener;
    scripted_server server("", connection_end::KeepOpen);
    auto exchange = m_client.start(server.address(), get, {}, listener);
    const time_point end = os_clock().now() + std::chrono::milliseconds(50);
    m_loop.runUntil(
        [&] {
            server.poll();
            return os_clock().now() >= end;
        },
        testTimeout);
    exchange.reset();
    EXPECT_TRUE(m_loop.runUntil(
        [&] {
            server.poll();
            return server.resets() == 1;
        },
        std::chrono::seconds(1)));
}

} // namespace pollen
