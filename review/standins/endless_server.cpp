#include "endless_server.h"

#include <base/socket_address.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <utility>

namespace pollen {

namespace {

constexpr duration writeInterval = std::chrono::milliseconds(5);
constexpr int listenBacklog = 64;

} // namespace

endless_server::endless_server(event_loop& loop, recorder& record, std::string id, std::string prefix,
    const std::string& repeated, size_t bytesPerMillisecond)
    : m_loop(loop)
    , m_record(record)
    , m_id(std::move(id))
    , m_prefix(std::move(prefix))
    , m_repeated(repeated)
    , m_timer(loop, [this] { sendMore(); })
{
    const size_t bytes = bytesPerMillisecond * static_cast<size_t>(toMilliseconds(writeInterval));
    // Fewer, longer pieces.
    constexpr size_t leastPieceBytes = 1024;
    while (!repeated.empty() && m_repeated.size() < leastPieceBytes)
        m_repeated += repeated;
    m_bytesPerInterval = repeated.empty() ? 0 : bytes;
    const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<endless_server*>(self)->accept(socket);
    };
    socket_address address = toSocketAddress({ "127.0.0.1", 0 });
    m_listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, listenBacklog,
        address.get(), static_cast<int>(address.length));
    socket_address bound;
    getsockname(evconnlistener_get_fd(m_listener), bound.get(), &bound.length);
    m_address = toEndpoint(bound);
    m_timer.startRepeating(writeInterval);
}

endless_server::~endless_server()
{
    for (bufferevent* channel : m_channels)
        bufferevent_free(channel);
    evconnlistener_free(m_listener);
}

void endless_server::accept(int socket)
{
    bufferevent* channel = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    const auto onRead = [](bufferevent* from, void* self) { static_cast<endless_server*>(self)->answer(from); };
    const auto onEnd = [](bufferevent* ended, short, void* self) { static_cast<endless_server*>(self)->remove(ended); };
    bufferevent_setcb(channel, onRead, nullptr, onEnd, this);
    bufferevent_enable(channel, EV_READ | EV_WRITE);
    m_channels.insert(channel);
}

void endless_server::answer(bufferevent* channel)
{
    evbuffer* input = bufferevent_get_input(channel);
    const std::string text(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
    if (text.find("\r\n\r\n") == std::string::npos)
        return;
    evbuffer_drain(input, text.size());
    const std::string name = "Pollenroute-Request-Id: ";
    const size_t start = text.find(name) + name.size();
    const std::string id = text.substr(start, text.find("\r\n", start) - start);
    m_record.write(
        "server " + m_id + " runs " + id + " and answers " + (m_repeated.empty() ? "one event" : "bytes without end"));
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPollenroute-Request-Id: ";
    answer.append(id).append("\r\nPollenroute-Response-Seal: seal-").append(id);
    answer += "\r\nTransfer-Encoding: chunked\r\n\r\n";
    answer += m_repeated.empty() ? "10\r\nid: 1\ndata: ok\n\n\r\n0\r\n\r\n" : m_prefix;
    bufferevent_write(channel, answer.data(), answer.size());
    if (!m_repeated.empty())
        m_endless.insert(channel);
}

void endless_server::sendMore()
{
    // All answers together have the rate.
    const size_t bytes = m_endless.empty() ? 0 : m_bytesPerInterval / m_endless.size();
    for (bufferevent* channel : m_endless) {
        evbuffer* output = bufferevent_get_output(channel);
        if (evbuffer_get_length(output) > 0)
            continue;
        // Whole repetitions only.
        for (size_t sent = 0; sent < bytes; sent += m_repeated.size())
            evbuffer_add(output, m_repeated.data(), m_repeated.size());
    }
}

void endless_server::remove(bufferevent* channel)
{
    if (m_endless.erase(channel) > 0)
        m_record.write("the daemon has closed the channel to " + m_id);
    m_channels.erase(channel);
    bufferevent_free(channel);
}

} // namespace pollen
