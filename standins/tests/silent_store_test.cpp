#include <adapter/store_client.h>
#include <base/json_logger.h>
#include <base/socket_address.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <gtest/gtest.h>

namespace pollen {

namespace {

constexpr duration patience = std::chrono::seconds(5);

// A store with an empty topic whose open connections can go silent without a reset, while new ones work.
class silent_store {
public:
    explicit silent_store(event_loop& loop)
    {
        const auto onAccept = [](evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* self) {
            bufferevent* connection
                = bufferevent_socket_new(evconnlistener_get_base(listener), socket, BEV_OPT_CLOSE_ON_FREE);
            static_cast<silent_store*>(self)->m_connections.push_back(connection);
            bufferevent_setcb(connection, answer, nullptr, nullptr, nullptr);
            bufferevent_enable(connection, EV_READ | EV_WRITE);
        };
        socket_address address = toSocketAddress({ "127.0.0.1", 0 });
        m_listener = evconnlistener_new_bind(
            loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, 16, address.get(), static_cast<int>(address.length));
        socket_address bound;
        getsockname(evconnlistener_get_fd(m_listener), bound.get(), &bound.length);
        m_address = toEndpoint(bound);
    }
    ~silent_store()
    {
        for (bufferevent* connection : m_connections)
            bufferevent_free(connection);
        evconnlistener_free(m_listener);
    }
    silent_store(const silent_store&) = delete;
    silent_store& operator=(const silent_store&) = delete;

    const endpoint& address() const { return m_address; }
    size_t connections() const { return m_connections.size(); }

    void silenceOpenConnections()
    {
        for (bufferevent* connection : m_connections)
            bufferevent_disable(connection, EV_READ);
    }

private:
    static void answer(bufferevent* connection, void*)
    {
        const std::string body = R"({"items":[],"more":false,"end":0})";
        evbuffer* input = bufferevent_get_input(connection);
        evbuffer_drain(input, evbuffer_get_length(input));
        evbuffer_add_printf(bufferevent_get_output(connection), "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
            body.size(), body.c_str());
    }

    evconnlistener* m_listener = nullptr;
    endpoint m_address;
    std::vector<bufferevent*> m_connections;
};

} // namespace

// Guards against CONFIG: after open connections to the store had gone silent, each repeated call took the next silent
// one, and daemons acted by an old configuration beyond the bound.
TEST(SilentStoreTest, TheCallAfterAHungOneUsesANewConnection)
{
    event_loop loop;
    null_logger log;
    silent_store store(loop);
    http_client http(loop);
    store_client client(http, store.address(), log);
    size_t done = 0;
    size_t ended = 0;
    const auto call = [&] {
        client.newest("keyed.op", "", [&](store_outcome outcome, const newest_page&) {
            ++ended;
            done += outcome == store_outcome::Done ? 1 : 0;
        });
    };
    for (int i = 0; i < 3; ++i)
        call();
    ASSERT_TRUE(loop.runUntil([&] { return done == 3; }, patience));
    ASSERT_EQ(store.connections(), 3U);
    store.silenceOpenConnections();
    call();
    ASSERT_TRUE(loop.runUntil([&] { return ended == 4; }, patience));
    EXPECT_EQ(done, 3U);
    call();
    ASSERT_TRUE(loop.runUntil([&] { return ended == 5; }, patience));
    EXPECT_EQ(done, 4U);
}

} // namespace pollen
