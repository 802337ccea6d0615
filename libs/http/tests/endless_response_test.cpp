#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <http/http_client.h>
#include <netinet/in.h>

namespace pollen {

namespace {

constexpr duration testTimeout = std::chrono::seconds(5);
constexpr size_t bodyLimit = 256U << 10;
// Bound for the socket buffers of a connection plus what the client reads before it aborts.
constexpr size_t maximumSentBytes = 16U << 20;

// Answers the first bytes of each connection with a prefix, then repeats the same bytes until the connection closes.
class endless_server {
public:
    endless_server(event_loop& loop, std::string prefix, const std::string& repeated)
        : m_prefix(std::move(prefix))
    {
        while (m_repeated.size() < blockBytes)
            m_repeated += repeated;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto accept = [](evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<endless_server*>(self)->accept(evconnlistener_get_base(listener), socket);
        };
        m_listener = evconnlistener_new_bind(loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, 16,
            reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t length = sizeof address;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &length);
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~endless_server()
    {
        for (bufferevent* connection : m_connections)
            bufferevent_free(connection);
        evconnlistener_free(m_listener);
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    const endpoint& address() const { return m_address; }
    size_t sentBytes() const { return m_sent; }

private:
    static constexpr size_t blockBytes = 16U << 10;

    void accept(event_base* base, evutil_socket_t socket)
    {
        bufferevent* connection = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
        m_connections.push_back(connection);
        const auto onRead = [](bufferevent* from, void* self) { static_cast<endless_server*>(self)->sendPrefix(from); };
        const auto onSent = [](bufferevent* to, void* self) { static_cast<endless_server*>(self)->sendRepeated(to); };
        const auto onEnd = [](bufferevent* ended, short, void*) { bufferevent_disable(ended, EV_READ | EV_WRITE); };
        bufferevent_setcb(connection, onRead, onSent, onEnd, this);
        bufferevent_enable(connection, EV_READ);
    }

    // Writing is enabled only now, because a bufferevent reports an empty output once writing is enabled, and the
    // repeated bytes would go first.
    void sendPrefix(bufferevent* connection)
    {
        evbuffer* input = bufferevent_get_input(connection);
        evbuffer_drain(input, evbuffer_get_length(input));
        bufferevent_write(connection, m_prefix.data(), m_prefix.size());
        bufferevent_enable(connection, EV_WRITE);
    }

    void sendRepeated(bufferevent* connection)
    {
        m_sent += m_repeated.size();
        bufferevent_write(connection, m_repeated.data(), m_repeated.size());
    }

    std::string m_prefix;
    std::string m_repeated;
    evconnlistener* m_listener;
    endpoint m_address;
    std::vector<bufferevent*> m_connections;
    size_t m_sent = 0;
};

} // namespace

// Guards against unbounded heads, bodies, chunk lines and trailers, which the client used to read until the deadline or
// buffer until the process ran out of memory.
TEST(EndlessResponseTest, UnboundedResponsesAreAborted)
{
    struct response {
        const char* what;
        const char* prefix;
        const char* repeated;
    };
    const std::vector<response> cases {
        { "no protocol, no line", "x", "x" },
        { "no protocol, lines", "x\r\n", "xxxx\r\n" },
        { "a status line", "HTTP/1.1 200 ", "x" },
        { "a header", "HTTP/1.1 200 OK\r\nX: ", "x" },
        { "headers", "HTTP/1.1 200 OK\r\n", "X: x\r\n" },
        { "interim responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "x" },
        { "a body until the close", "HTTP/1.1 200 OK\r\n\r\n", "x" },
        { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n" },
        { "the size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
        { "a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x" },
        { "the extension of a later chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n4;",
            "x" },
        { "the extension of the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;", "x" },
        { "a chunk extension of a rejection", "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x" },
        { "trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n" },
        { "a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x" },
        { "trailers of a response to another",
            "HTTP/1.1 200 OK\r\nEcho: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n" },
        { "responses to others", "HTTP/1.1 200 OK\r\nEcho: other\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nEcho: other\r\nContent-Length: 1\r\n\r\nx" },
        { "the body of a response to another", "HTTP/1.1 200 OK\r\nEcho: other\r\n\r\n", "x" },
    };
    for (const response& given : cases) {
        event_loop loop;
        endless_server server(loop, given.prefix, given.repeated);
        http_client client(loop);
        exchange_options options;
        options.maximumBodyBytes = bodyLimit;
        options.echoHeader = "Echo";
        options.echoValue = "mine";
        std::optional<exchange_result> ended;
        client.fetch(server.address(), { "GET", "/", {}, "" }, options,
            [&](const exchange_result& result, const http_response&) { ended = result; });
        EXPECT_TRUE(loop.runUntil([&] { return ended.has_value(); }, testTimeout)) << given.what;
        EXPECT_LE(server.sentBytes(), maximumSentBytes) << given.what;
        const size_t sent = server.sentBytes();
        loop.runUntil([] { return false; }, std::chrono::milliseconds(50));
        EXPECT_LE(server.sentBytes(), sent + maximumSentBytes) << given.what << ": the connection must be closed";
        EXPECT_FALSE(ended.value_or(exchange_result {}).ok()) << given.what;
    }
}

// Guards against a response without a limit of its own, such as the store's, that is buffered until memory runs out.
TEST(EndlessResponseTest, AFetchedResponseIsBounded)
{
    constexpr size_t maximumFetchedBytes = 8U << 20;
    event_loop loop;
    endless_server server(loop, "HTTP/1.1 200 OK\r\n\r\n", "x");
    http_client client(loop);
    std::optional<exchange_result> ended;
    size_t received = 0;
    client.fetch(server.address(), { "GET", "/", {}, "" }, {},
        [&](const exchange_result& result, const http_response& response) {
            ended = result;
            received = response.body.size();
        });
    EXPECT_TRUE(loop.runUntil([&] { return ended.has_value(); }, testTimeout));
    EXPECT_EQ(ended.value_or(exchange_result {}).failure, exchange_failure::ResponseTooLarge);
    EXPECT_LE(received, maximumFetchedBytes);
}

} // namespace pollen
