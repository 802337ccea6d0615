#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <http/http_client.h>
#include <http/http_server.h>
#include <list>
#include <netinet/in.h>
#include <optional>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(5);
constexpr const char* idHeader = "X-Id";

// A listening socket. The kernel completes handshakes and takes bytes; nothing is accepted or read until a test does
// so.
class raw_listener {
public:
    explicit raw_listener(int backlog, int receiveBytes = 0)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        if (receiveBytes > 0)
            ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        EXPECT_EQ(::bind(m_socket, reinterpret_cast<sockaddr*>(&address), length), 0);
        EXPECT_EQ(::listen(m_socket, backlog), 0);
        EXPECT_EQ(::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length), 0);
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~raw_listener() { ::close(m_socket); }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    const endpoint& address() const { return m_address; }
    // Returns -1 if no connection waits.
    int accept() const { return ::accept4(m_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); }

private:
    int m_socket;
    endpoint m_address;
};

enum class input_end {
    Open,
    Closed,
    Reset,
};

struct received_input {
    std::string bytes;
    input_end end = input_end::Open;
};

// Reads what the kernel holds for an accepted connection.
received_input receive(int socket)
{
    received_input input;
    char buffer[65536];
    while (true) {
        const ssize_t length = ::recv(socket, buffer, sizeof buffer, MSG_DONTWAIT);
        if (length > 0) {
            input.bytes.append(buffer, static_cast<size_t>(length));
            continue;
        }
        if (length == 0)
            input.end = input_end::Closed;
        else if (errno == ECONNRESET)
            input.end = input_end::Reset;
        return input;
    }
}

void write(int socket, const std::string& bytes) { ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

void reset(int socket)
{
    const linger atOnce { 1, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    ::close(socket);
}

// Connects a raw socket to a server.
int connectTo(const endpoint& server)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    EXPECT_EQ(::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    return socket;
}

std::string response(const std::string& status, const std::string& id, const std::string& body = "")
{
    const std::string echo = id.empty() ? "" : std::string(idHeader) + ": " + id + "\r\n";
    return "HTTP/1.1 " + status + "\r\n" + echo + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One exchange and what the client has said of it.
class recorded_exchange final : public exchange_listener {
public:
    recorded_exchange(
        http_client& client, const endpoint& server, const std::string& id, exchange_options options, size_t bodyBytes)
    {
        options.echoHeader = idHeader;
        options.echoValue = id;
        m_exchange = client.start(
            server, { "POST", "/", { { idHeader, id } }, std::string(bodyBytes, 'x') }, std::move(options), *this);
    }

    void onHead(int status, const http_headers&) override { m_status = status; }
    void onData(std::string_view) override { }
    void onFinished(const exchange_result& result) override
    {
        ++m_ends;
        m_result = result;
    }

    bool hasEnded() const { return m_ends > 0; }
    int ends() const { return m_ends; }
    int status() const { return m_status; }
    const exchange_result& result() const { return m_result; }
    bool isStatedUnsent() const { return hasEnded() && m_result.failure == exchange_failure::ConnectFailed; }
    void cancel() { m_exchange.reset(); }

private:
    std::unique_ptr<exchange> m_exchange;
    exchange_result m_result;
    int m_status = 0;
    int m_ends = 0;
};

class NotRunTest : public testing::Test {
protected:
    void SetUp() override { m_pollTimer.startRepeating(std::chrono::milliseconds(1)); }

    recorded_exchange& start(
        const endpoint& server, const std::string& id, exchange_options options = {}, size_t bodyBytes = 0)
    {
        return m_exchanges.emplace_back(m_client, server, id, std::move(options), bodyBytes);
    }
    recorded_exchange& start(
        const raw_listener& server, const std::string& id, exchange_options options = {}, size_t bodyBytes = 0)
    {
        return start(server.address(), id, std::move(options), bodyBytes);
    }

    void runFor(duration span)
    {
        m_loop.runUntil([] { return false; }, span);
    }
    bool runToEnd(const recorded_exchange& exchange)
    {
        return m_loop.runUntil([&] { return exchange.hasEnded(); }, testTimeout);
    }
    // The loop stands still while the kernel goes on.
    static void blockLoop(duration span) { std::this_thread::sleep_for(span); }

    // Has an exchange answered and leaves its connection in the pool; returns the server's end.
    int keepConnection(const raw_listener& server, const std::string& id)
    {
        const recorded_exchange& first = start(server, id);
        runFor(shortTime);
        const int socket = server.accept();
        EXPECT_FALSE(receive(socket).bytes.empty());
        write(socket, response("200 OK", id));
        EXPECT_TRUE(runToEnd(first));
        runFor(shortTime);
        return socket;
    }

    static constexpr duration shortTime = std::chrono::milliseconds(20);
    inline static const exchange_options brief { std::chrono::milliseconds(100), std::chrono::milliseconds(40) };

    event_loop m_loop;
    // The sockets of the tests are not registered with the loop; the timer makes runUntil() look at them.
    timer m_pollTimer { m_loop, [] {} };
    http_client m_client { m_loop };
    std::list<recorded_exchange> m_exchanges;
};

} // namespace

// Guards against REFUSED: a stopped server reads and runs what its kernel holds, also behind the reset of a connection.
TEST_F(NotRunTest, AServerThatDoesNotAcceptMayStillRunTheRequest)
{
    const raw_listener server(16);
    recorded_exchange& timedOut = start(server, "timed-out", brief);
    recorded_exchange& cancelled = start(server, "cancelled");
    ASSERT_TRUE(runToEnd(timedOut));
    cancelled.cancel();
    runFor(shortTime);
    EXPECT_EQ(timedOut.result().failure, exchange_failure::TimedOut);
    EXPECT_TRUE(timedOut.result().requestSent);
    for (const char* id : { "timed-out", "cancelled" }) {
        const int socket = server.accept();
        const received_input input = receive(socket);
        EXPECT_NE(input.bytes.find(id), std::string::npos) << "a reset does not discard what was received";
        EXPECT_EQ(input.end, input_end::Reset);
        ::close(socket);
    }
}

// Guards against REFUSED and TWICE: a request reported as unsent reaches a server later, from a full listen queue.
TEST_F(NotRunTest, WhatAFullListenQueueTurnsAwayIsNeverDelivered)
{
    const raw_listener server(0);
    constexpr int exchanges = 8;
    std::vector<recorded_exchange*> sent;
    sent.reserve(exchanges);
    for (int i = 0; i < exchanges; ++i)
        sent.push_back(&start(server, "id-" + std::to_string(i) + ".", brief));
    runFor(std::chrono::milliseconds(200));
    std::string delivered;
    size_t unsent = 0;
    // Dropped handshakes are repeated by the kernel after one second.
    const time_point end = os_clock().now() + std::chrono::milliseconds(1500);
    while (os_clock().now() < end) {
        const int socket = server.accept();
        runFor(std::chrono::milliseconds(5));
        if (socket < 0)
            continue;
        delivered += receive(socket).bytes;
        ::close(socket);
    }
    for (size_t i = 0; i < sent.size(); ++i) {
        ASSERT_TRUE(sent[i]->hasEnded());
        unsent += sent[i]->isStatedUnsent() ? 1 : 0;
        const bool arrived = delivered.find("id-" + std::to_string(i) + ".") != std::string::npos;
        EXPECT_EQ(arrived, !sent[i]->isStatedUnsent()) << i << ' ' << toText(sent[i]->result().failure);
    }
    EXPECT_GT(unsent, 0U);
}

// Guards against REFUSED: a connect that completes in the turn in which its time is up sends a request stated unsent.
TEST_F(NotRunTest, ALateLoopDoesNotSendWhatItReportsUnsent)
{
    for (const duration late : { std::chrono::milliseconds(60), std::chrono::milliseconds(200) }) {
        const raw_listener server(16);
        const recorded_exchange& exchange = start(server, "late", brief);
        blockLoop(late);
        ASSERT_TRUE(runToEnd(exchange));
        runFor(shortTime);
        const int socket = server.accept();
        const bool arrived = !receive(socket).bytes.empty();
        EXPECT_EQ(exchange.isStatedUnsent(), !arrived) << toText(exchange.result().failure);
        ::close(socket);
    }
}

// Guards against REFUSED: an answer, or a reset, that is read in the turn in which the deadline passes.
TEST_F(NotRunTest, AnEndAndTheDeadlineInOneTurn)
{
    for (const bool isReset : { false, true }) {
        const raw_listener server(16);
        const recorded_exchange& exchange = start(server, "late", brief);
        runFor(shortTime);
        const int socket = server.accept();
        EXPECT_FALSE(receive(socket).bytes.empty());
        if (isReset)
            reset(socket);
        else
            write(socket, response("200 OK", "late"));
        blockLoop(std::chrono::milliseconds(150));
        ASSERT_TRUE(runToEnd(exchange));
        EXPECT_FALSE(exchange.isStatedUnsent());
        runFor(shortTime);
        EXPECT_EQ(exchange.ends(), 1);
    }
}

// Guards against a daemon that ends by itself: a response that is too large and the deadline in one turn of the loop.
TEST_F(NotRunTest, AnOversizedResponseAndTheDeadlineInOneTurnEndTheExchangeOnce)
{
    const raw_listener server(16);
    exchange_options options = brief;
    options.maximumBodyBytes = 10;
    const recorded_exchange& exchange = start(server, "large", options);
    runFor(std::chrono::milliseconds(60));
    const int socket = server.accept();
    EXPECT_FALSE(receive(socket).bytes.empty());
    write(socket, response("200 OK", "large", std::string(1000, 'x')));
    blockLoop(std::chrono::milliseconds(100));
    ASSERT_TRUE(runToEnd(exchange));
    runFor(shortTime);
    EXPECT_EQ(exchange.ends(), 1);
    ::close(socket);
}

// Guards against REFUSED: part of a request has left when its connection breaks.
TEST_F(NotRunTest, ARequestThatWasTakenInPartMayHaveRun)
{
    for (const bool isReset : { true, false }) {
        const raw_listener server(16, 4096);
        const recorded_exchange& exchange = start(server, "large", brief, 8U << 20);
        runFor(shortTime);
        ASSERT_FALSE(exchange.hasEnded());
        const int socket = server.accept();
        if (isReset)
            reset(socket);
        ASSERT_TRUE(runToEnd(exchange));
        EXPECT_FALSE(exchange.isStatedUnsent());
        EXPECT_TRUE(exchange.result().requestSent);
        if (!isReset)
            ::close(socket);
    }
}

// Guards against REFUSED: a reset before the first byte of the request is no statement that holds for a later write.
TEST_F(NotRunTest, AResetBeforeTheRequestLeavesItUnsent)
{
    const raw_listener server(16);
    const recorded_exchange& fresh = start(server, "fresh");
    blockLoop(shortTime);
    reset(server.accept());
    ASSERT_TRUE(runToEnd(fresh));
    EXPECT_TRUE(fresh.isStatedUnsent());
    const int kept = keepConnection(server, "first");
    reset(kept);
    blockLoop(shortTime);
    const recorded_exchange& second = start(server, "second");
    ASSERT_TRUE(runToEnd(second));
    EXPECT_TRUE(second.isStatedUnsent());
    EXPECT_EQ(server.accept(), -1);
}

// Guards against REFUSED: a server that has closed its side of a kept connection may still read and run the request.
TEST_F(NotRunTest, ARequestIntoAClosedKeptConnectionMayHaveRun)
{
    const raw_listener server(16);
    for (const bool isHalfClosed : { true, false }) {
        const int kept = keepConnection(server, isHalfClosed ? "first" : "third");
        if (isHalfClosed)
            ::shutdown(kept, SHUT_WR);
        else
            ::close(kept);
        blockLoop(shortTime);
        const recorded_exchange& second = start(server, isHalfClosed ? "second" : "fourth");
        ASSERT_TRUE(runToEnd(second));
        EXPECT_EQ(second.result().failure, exchange_failure::ConnectionLost);
        EXPECT_TRUE(second.result().requestSent);
        if (!isHalfClosed)
            continue;
        EXPECT_NE(receive(kept).bytes.find("second"), std::string::npos);
        ::close(kept);
    }
}

// Guards against a write to the store that is taken for undone: a request was written to a kept connection that closed,
// and the next connection, on which it was to be repeated, could not be opened.
TEST_F(NotRunTest, ARequestThatIsRepeatedWasSentHoweverTheRepeatEnds)
{
    exchange_options options = brief;
    options.repeatable = true;
    auto server = std::make_optional<raw_listener>(16);
    const endpoint address = server->address();
    const int kept = keepConnection(*server, "first");
    const recorded_exchange& second = start(address, "second", options);
    server.reset();
    runFor(std::chrono::milliseconds(5));
    EXPECT_NE(receive(kept).bytes.find("second"), std::string::npos);
    ::close(kept);
    ASSERT_TRUE(runToEnd(second));
    EXPECT_FALSE(second.isStatedUnsent()) << toText(second.result().failure);
    EXPECT_TRUE(second.result().requestSent);
}

// Guards against TWICE: a request goes on elsewhere while its first server, which has only closed its side or has sent
// bytes that are no response, takes an orderly close for the end of the request and runs it.
TEST_F(NotRunTest, AServerSeesAResetHoweverTheExchangeFails)
{
    struct failed_response {
        const char* what;
        std::string bytes;
        bool isHalfClosed;
    };
    std::string interim;
    for (int i = 0; i < 20; ++i)
        interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::vector<failed_response> cases {
        { "half-closed", "", true },
        { "half-closed within the head", "HTTP/1.1 200", true },
        { "half-closed within the body", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nhalf", true },
        { "no response", "garbage that is no answer\r\n\r\n", false },
        { "too many interim responses", interim, false },
    };
    for (const failed_response& item : cases) {
        const raw_listener server(16);
        const recorded_exchange& exchange = start(server, "mine");
        runFor(shortTime);
        const int socket = server.accept();
        EXPECT_FALSE(receive(socket).bytes.empty());
        write(socket, item.bytes);
        if (item.isHalfClosed)
            ::shutdown(socket, SHUT_WR);
        ASSERT_TRUE(runToEnd(exchange));
        EXPECT_FALSE(exchange.result().ok()) << item.what;
        runFor(shortTime);
        EXPECT_EQ(receive(socket).end, input_end::Reset) << item.what;
        ::close(socket);
    }
}

// Guards against REFUSED and TWICE: a refusal that is written once more comes after many other exchanges, when the
// request it belongs to is on the connection again.
TEST_F(NotRunTest, AConnectionRemembersWhatItCarriedHoweverMuchItCarriesSince)
{
    for (const int exchanges : { 10, 80, 600 }) {
        const raw_listener server(16);
        const std::string mine = "mine-" + std::to_string(exchanges);
        const int first = keepConnection(server, mine);
        int current = first;
        for (int i = 0; i < exchanges; ++i) {
            const std::string id = mine + "-" + std::to_string(i);
            const recorded_exchange& other = start(server, id);
            bool arrived = false;
            ASSERT_TRUE(m_loop.runUntil(
                [&] {
                    const int next = server.accept();
                    current = next < 0 ? current : next;
                    arrived = arrived || !receive(current).bytes.empty();
                    return arrived;
                },
                testTimeout));
            write(current, response("200 OK", id));
            ASSERT_TRUE(runToEnd(other));
        }
        const recorded_exchange& again = start(server, mine);
        runFor(shortTime);
        EXPECT_EQ(receive(first).bytes, "") << exchanges << ": it is on the connection that has carried it";
        EXPECT_FALSE(again.hasEnded());
    }
}

// Guards against REFUSED: no connection can be opened at all.
TEST_F(NotRunTest, AConnectThatFailsAtOnceLeavesTheRequestUnsent)
{
    const recorded_exchange& unreachable = start(endpoint { "224.0.0.1", 9 }, "unreachable");
    ASSERT_TRUE(runToEnd(unreachable));
    EXPECT_TRUE(unreachable.isStatedUnsent());
    EXPECT_FALSE(unreachable.result().requestSent);

    const raw_listener server(16);
    rlimit previous {};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &previous), 0);
    const int next = ::dup(0);
    ::close(next);
    const rlimit none { static_cast<rlim_t>(next), previous.rlim_max };
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
    const recorded_exchange& withoutSocket = start(server, "without-socket");
    EXPECT_TRUE(runToEnd(withoutSocket));
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &previous), 0);
    EXPECT_TRUE(withoutSocket.isStatedUnsent());
    EXPECT_EQ(server.accept(), -1);
}

// Guards against REFUSED: a response that is there before any byte of the request has left, and a request that leaves
// behind it.
TEST_F(NotRunTest, AnEarlyResponseEndsTheExchangeAndNothingFollows)
{
    for (const bool isLoopLate : { true, false }) {
        const raw_listener server(16);
        const recorded_exchange& exchange = start(server, "mine");
        if (!isLoopLate)
            runFor(shortTime);
        const int socket = server.accept();
        write(socket, response("503 Service Unavailable", ""));
        blockLoop(shortTime);
        ASSERT_TRUE(runToEnd(exchange));
        runFor(shortTime);
        const bool arrived = !receive(socket).bytes.empty();
        EXPECT_EQ(exchange.result().requestSent, arrived);
        ::close(socket);
    }
}

// Guards against REFUSED: a refusal of the server's own was told of a request that its handler has.
TEST_F(NotRunTest, ARefusalOfTheServerFollowsTheRequestsThatWereHandled)
{
    const std::string whole = "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";
    const std::vector<std::string> refused { "not http\r\n\r\n", "GET /two HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST /two HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n",
        "POST /two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n" };
    for (const std::string& next : refused) {
        std::vector<std::shared_ptr<server_request>> handled;
        http_server server(m_loop, { "127.0.0.1", 0 }, {},
            [&](const std::shared_ptr<server_request>& request) { handled.push_back(request); });
        const int caller = connectTo(server.address());
        write(caller, whole + next);
        ASSERT_TRUE(m_loop.runUntil([&] { return !handled.empty(); }, testTimeout));
        runFor(shortTime);
        EXPECT_EQ(receive(caller).bytes, "") << "the response to a request comes behind that of the one before";
        handled.front()->reply(200, {}, "");
        runFor(shortTime);
        const std::string told = receive(caller).bytes;
        EXPECT_EQ(told.find("HTTP/1.1 200"), 0U) << told;
        EXPECT_NE(told.find("HTTP/1.1 4"), std::string::npos) << told;
        EXPECT_EQ(handled.size(), 1U) << next;
        ::close(caller);
    }
}

// Guards against REFUSED: callers take a reset without a response for a request that the daemon has not read.
TEST_F(NotRunTest, AServerThatStopsAcceptingResetsWhatItHasNotRead)
{
    size_t handled = 0;
    http_server server(m_loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>&) { ++handled; });
    const int caller = connectTo(server.address());
    write(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    server.stopAccepting();
    runFor(shortTime);
    EXPECT_EQ(receive(caller).end, input_end::Reset);
    EXPECT_EQ(handled, 0U);
    ::close(caller);
}

} // namespace pollen
