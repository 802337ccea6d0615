#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <http/http_server.h>
#include <netinet/in.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(5);
// Bound for the socket buffers of a connection plus what the server reads before it refuses.
constexpr size_t maximumSentBytes = 16U << 20;
constexpr size_t blockBytes = 16U << 10;
// Time for the first byte of a request to arrive.
constexpr duration beginningTime = std::chrono::milliseconds(50);

// Sends a prefix and then the same bytes, if any, again and again until the server closes the connection.
class endless_caller {
public:
    endless_caller(event_loop& loop, const endpoint& server, const std::string& prefix, const std::string& repeated)
        : m_connection(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        while (!repeated.empty() && m_repeated.size() < blockBytes)
            m_repeated += repeated;
        const auto onRead = [](bufferevent* from, void* self) {
            evbuffer* input = bufferevent_get_input(from);
            std::string bytes(evbuffer_get_length(input), 0);
            evbuffer_remove(input, bytes.data(), bytes.size());
            static_cast<endless_caller*>(self)->m_answer += bytes;
        };
        const auto onSent = [](bufferevent* to, void* self) {
            auto* caller = static_cast<endless_caller*>(self);
            caller->m_sent += caller->m_repeated.size();
            bufferevent_write(to, caller->m_repeated.data(), caller->m_repeated.size());
        };
        const auto onEvent = [](bufferevent*, short what, void* self) {
            static_cast<endless_caller*>(self)->m_closed |= (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        };
        bufferevent_setcb(m_connection, onRead, onSent, onEvent, this);
        bufferevent_write(m_connection, prefix.data(), prefix.size());
        bufferevent_enable(m_connection, EV_READ | EV_WRITE);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(server.port);
        bufferevent_socket_connect(m_connection, reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
    ~endless_caller() { bufferevent_free(m_connection); }
    endless_caller(const endless_caller&) = delete;
    endless_caller& operator=(const endless_caller&) = delete;

    void send(const std::string& bytes) { bufferevent_write(m_connection, bytes.data(), bytes.size()); }

    bool closed() const { return m_closed; }
    size_t sentBytes() const { return m_sent; }
    const std::string& answer() const { return m_answer; }

private:
    bufferevent* m_connection;
    std::string m_repeated;
    std::string m_answer;
    size_t m_sent = 0;
    bool m_closed = false;
};

} // namespace

// Guards against a caller whose chunk line or trailers do not end: the connection was kept open, and once the input had
// reached its limit the loop turned without a pause and served nobody else.
TEST(EndlessRequestTest, UnboundedRequestsAreRefused)
{
    struct request {
        const char* what;
        const char* prefix;
        const char* repeated;
        const char* status;
    };
    const std::vector<request> cases {
        { "a request line", "GET /", "x", "431" },
        { "headers", "GET / HTTP/1.1\r\n", "X: x\r\n", "431" },
        { "a chunk extension", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x", "400" },
        { "the extension of a later chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n4;", "x",
            "400" },
        { "the size of a chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0", "0", "400" },
        { "trailers", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n", "400" },
        { "a trailer", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x", "400" },
        { "chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", "413" },
    };
    for (const request& given : cases) {
        event_loop loop;
        http_server_limits limits;
        limits.maximumBodyBytes = blockBytes;
        http_server server(loop, { "127.0.0.1", 0 }, limits,
            [](const std::shared_ptr<server_request>& request) { request->reply(200, {}, ""); });
        endless_caller caller(loop, server.address(), given.prefix, given.repeated);
        EXPECT_TRUE(loop.runUntil([&] { return caller.closed(); }, testTimeout)) << given.what;
        EXPECT_TRUE(caller.answer().starts_with(std::string("HTTP/1.1 ") + given.status))
            << given.what << ": " << caller.answer();
        EXPECT_LE(caller.sentBytes(), maximumSentBytes) << given.what;
        EXPECT_TRUE(loop.runUntil([&] { return server.openConnections() == 0; }, testTimeout)) << given.what;
    }
}

// Guards against DENIED: a request was refused for good by limits that the newest configuration may have raised.
TEST(EndlessRequestTest, OutdatedLimitsRefuseNothingForGood)
{
    struct outdated_case {
        const char* what;
        std::string request;
        // Whether the limits are outdated when the request begins, and when it is refused.
        bool atBeginning;
        bool atRefusal;
        const char* status;
    };
    const std::string post = "POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n";
    const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n";
    const std::string header = "GET / HTTP/1.1\r\nX: ";
    for (const outdated_case& given : std::vector<outdated_case> {
             { "a body with a length", post, true, true, "503" },
             { "chunks", chunked, true, true, "503" },
             { "headers", header, true, true, "503" },
             { "limits that were outdated at the beginning", chunked, true, false, "503" },
             { "limits that have become outdated", chunked, false, true, "503" },
             { "the newest limits", chunked, false, false, "413" },
             { "a malformed request", "GET\r\n\r\n", true, true, "400" },
         }) {
        event_loop loop;
        http_server_limits newest;
        newest.maximumBodyBytes = blockBytes / 2;
        http_server_limits outdated = newest;
        outdated.newestUntil = time_point::min();
        http_server server(loop, { "127.0.0.1", 0 }, given.atBeginning ? outdated : newest,
            [](const std::shared_ptr<server_request>& request) { request->reply(200, {}, ""); });
        // The first byte begins the request.
        endless_caller caller(loop, server.address(), given.request.substr(0, 1), "");
        EXPECT_FALSE(loop.runUntil([&] { return caller.closed(); }, beginningTime)) << given.what;
        server.setLimits(given.atRefusal ? outdated : newest);
        caller.send(given.request.substr(1) + std::string(2 * blockBytes, 'x'));
        EXPECT_TRUE(loop.runUntil([&] { return caller.closed(); }, testTimeout)) << given.what;
        const std::string& answer = caller.answer();
        EXPECT_TRUE(answer.starts_with(std::string("HTTP/1.1 ") + given.status)) << given.what << ": " << answer;
        const bool isUnavailable = given.status == std::string("503");
        EXPECT_EQ(answer.find("\r\nRetry-After: ") != std::string::npos, isUnavailable) << given.what << answer;
        EXPECT_NE(answer.find("\r\nConnection: close\r\n"), std::string::npos) << given.what << answer;
        EXPECT_NE(answer.find("\"run\":\"not_run\""), std::string::npos) << given.what << answer;
    }
}

// Guards against a caller that floods its connection while its request is processed: libevent called the read callback
// again and again at the read limit, and the loop reached neither other connections nor its timers.
TEST(EndlessRequestTest, AFloodBehindAPendingRequestLeavesTheLoopIdle)
{
    constexpr int maximumTurns = 100;
    event_loop loop;
    std::shared_ptr<server_request> pending;
    http_server server(
        loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>& request) { pending = request; });
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    auto caller = std::make_unique<endless_caller>(loop, server.address(), request, request);
    loop.runUntil([] { return false; }, std::chrono::milliseconds(200));
    ASSERT_TRUE(pending);
    EXPECT_LE(caller->sentBytes(), maximumSentBytes);
    int turns = 0;
    loop.runUntil(
        [&] {
            ++turns;
            return false;
        },
        std::chrono::milliseconds(200));
    EXPECT_LE(turns, maximumTurns);
}

// Guards against a caller that is not seen to leave because reading is stopped: its request went on at a server.
TEST(EndlessRequestTest, ACallerThatLeavesIsNoticedWhileReadingIsStopped)
{
    event_loop loop;
    std::shared_ptr<server_request> pending;
    bool hungUp = false;
    http_server server(loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>& request) {
        pending = request;
        pending->setHangUpCallback([&] { hungUp = true; });
    });
    std::string requests;
    while (requests.size() < 6 * blockBytes)
        requests += "GET / HTTP/1.1\r\n\r\n";
    auto caller = std::make_unique<endless_caller>(loop, server.address(), requests, "");
    loop.runUntil([] { return false; }, std::chrono::milliseconds(100));
    ASSERT_TRUE(pending);
    EXPECT_FALSE(hungUp);
    caller.reset();
    EXPECT_TRUE(loop.runUntil([&] { return hungUp; }, testTimeout));
}

// Guards against the loss of requests whose bytes were held back behind the one before.
TEST(EndlessRequestTest, RequestsBehindALongOneAreAnsweredInTurn)
{
    constexpr int requests = 50;
    event_loop loop;
    int answered = 0;
    std::shared_ptr<server_request> pending;
    http_server server(loop, { "127.0.0.1", 0 }, {}, [&](const std::shared_ptr<server_request>& request) {
        if (++answered == 1)
            pending = request;
        else
            request->reply(200, {}, "");
    });
    const std::string body(blockBytes, 'x');
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string all;
    for (int i = 0; i < requests; ++i)
        all += request;
    endless_caller caller(loop, server.address(), all, "\r\n");
    loop.runUntil([] { return false; }, std::chrono::milliseconds(100));
    ASSERT_EQ(answered, 1);
    pending->reply(200, {}, "");
    EXPECT_TRUE(loop.runUntil([&] { return answered == requests; }, testTimeout)) << answered;
}

// Guards against tasks that post further tasks and keep the loop from its timers.
TEST(EventLoopTest, TasksThatPostTasksLeaveTheTimersRunning)
{
    event_loop loop;
    bool fired = false;
    std::function<void()> again = [&] { loop.post(again); };
    timer later(loop, [&] {
        fired = true;
        loop.stop();
    });
    later.startOnce(std::chrono::milliseconds(10));
    loop.post(again);
    EXPECT_TRUE(loop.runUntil([&] { return fired; }, testTimeout));
    again = [] {};
}

} // namespace pollen
