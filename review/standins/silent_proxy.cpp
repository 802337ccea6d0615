#include "silent_proxy.h"

#include <algorithm>
#include <base/socket_address.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace pollen {

namespace {

constexpr int listenBacklog = 64;

void sendAtOnce(bufferevent* end)
{
    const int enabled = 1;
    setsockopt(bufferevent_getfd(end), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

} // namespace

struct silent_proxy::channel {
    channel(silent_proxy& owner, bufferevent* from, bufferevent* to)
        : proxy(owner)
        , near(from)
        , far(to)
    {
    }
    ~channel()
    {
        bufferevent_free(near);
        bufferevent_free(far);
    }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    silent_proxy& proxy;
    bufferevent* near;
    bufferevent* far;
    bool isSilent = false;
};

silent_proxy::silent_proxy(event_loop& loop, endpoint target)
    : m_loop(loop)
    , m_target(std::move(target))
{
    const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<silent_proxy*>(self)->accept(socket);
    };
    socket_address address = toSocketAddress({ "127.0.0.1", 0 });
    m_listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, listenBacklog,
        address.get(), static_cast<int>(address.length));
    socket_address bound;
    getsockname(evconnlistener_get_fd(m_listener), bound.get(), &bound.length);
    m_address = toEndpoint(bound);
}

silent_proxy::~silent_proxy()
{
    m_channels.clear();
    evconnlistener_free(m_listener);
}

size_t silent_proxy::silenceOpenChannels()
{
    for (const auto& open : m_channels) {
        open->isSilent = true;
        // The far end is left open as well: it sees a caller that sends nothing more.
        bufferevent_disable(open->near, EV_READ | EV_WRITE);
        bufferevent_disable(open->far, EV_READ | EV_WRITE);
    }
    return m_channels.size();
}

void silent_proxy::accept(int socket)
{
    bufferevent* near = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* far = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto accepted = std::make_unique<channel>(*this, near, far);
    channel* self = accepted.get();
    m_channels.insert(std::move(accepted));
    const auto onNearRead = [](bufferevent* from, void* item) { forward(from, static_cast<channel*>(item)->far); };
    const auto onFarRead = [](bufferevent* from, void* item) { forward(from, static_cast<channel*>(item)->near); };
    const auto onEvent = [](bufferevent* end, short what, void* item) {
        auto* ended = static_cast<channel*>(item);
        if (what & BEV_EVENT_CONNECTED)
            sendAtOnce(end);
        else
            ended->proxy.remove(ended);
    };
    bufferevent_setcb(near, onNearRead, nullptr, onEvent, self);
    bufferevent_setcb(far, onFarRead, nullptr, onEvent, self);
    bufferevent_enable(near, EV_READ | EV_WRITE);
    bufferevent_enable(far, EV_READ | EV_WRITE);
    sendAtOnce(near);
    socket_address address = toSocketAddress(m_target);
    bufferevent_socket_connect(far, address.get(), static_cast<int>(address.length));
}

void silent_proxy::forward(bufferevent* from, bufferevent* to)
{
    evbuffer_add_buffer(bufferevent_get_output(to), bufferevent_get_input(from));
}

void silent_proxy::remove(channel* ended)
{
    // This runs inside a callback of one of its ends.
    bufferevent_setcb(ended->near, nullptr, nullptr, nullptr, nullptr);
    bufferevent_setcb(ended->far, nullptr, nullptr, nullptr, nullptr);
    m_loop.post([this, ended] {
        const auto found
            = std::find_if(m_channels.begin(), m_channels.end(), [&](const auto& open) { return open.get() == ended; });
        if (found != m_channels.end())
            m_channels.erase(found);
    });
}

} // namespace pollen
