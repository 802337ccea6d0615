#include <http/http_server.h>

#include "early_write.h"
#include "header_list.h"
#include <base/error.h>
#include <base/socket_address.h>
#include <cassert>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>

namespace pollen {

namespace {

const char* methodText(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

// Connections that may wait to be accepted. evhttp's own listener takes 128, which a burst of callers overflows; those
// left over would try again only after a second.
constexpr int listenBacklog = 4096;

// Null with errno set when the address cannot be used.
evhttp_bound_socket* bindListener(event_base* base, evhttp* http, const endpoint& listenAddress)
{
    socket_address address = toSocketAddress(listenAddress);
    constexpr unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE;
    evconnlistener* listener = evconnlistener_new_bind(
        base, nullptr, nullptr, flags, listenBacklog, address.get(), static_cast<int>(address.length));
    return listener ? evhttp_bind_listener(http, listener) : nullptr;
}

http_request readRequest(evhttp_request* message)
{
    http_request request;
    request.method = methodText(evhttp_request_get_command(message));
    request.target = evhttp_request_get_uri(message);
    request.headers = copyHeaders(*evhttp_request_get_input_headers(message));
    evbuffer* input = evhttp_request_get_input_buffer(message);
    request.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, request.body.data(), request.body.size());
    return request;
}

} // namespace

struct http_server::details {
    event_loop& loop;
    evhttp* http = nullptr;
    evhttp_bound_socket* listener = nullptr;
    evbuffer* scratch = nullptr;
    endpoint address;
    http_server::handler handler;
    bool closing = false;
    std::set<evhttp_server_request*> open;
};

class http_server::evhttp_server_request final : public server_request,
                                                 public std::enable_shared_from_this<evhttp_server_request> {
public:
    evhttp_server_request(details& server, evhttp_request* message)
        : m_server(&server)
        , m_message(message)
        , m_connection(evhttp_request_get_connection(message))
        , m_request(readRequest(message))
    {
        char* address = nullptr;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(m_connection, &address, &port);
        m_callerAddress = address ? address : "";
        server.open.insert(this);
        watchHangUp();
    }

    ~evhttp_server_request() override
    {
        if (m_message)
            abort();
    }

    const http_request& request() const override { return m_request; }
    const std::string& callerAddress() const override { return m_callerAddress; }

    void reply(int status, const http_headers& headers, std::string_view body) override
    {
        if (!m_message)
            return;
        addHeaders(headers);
        evbuffer_add(m_server->scratch, body.data(), body.size());
        evhttp_request* message = release();
        bufferevent* events = evhttp_connection_get_bufferevent(m_connection);
        evhttp_send_reply(message, status, nullptr, m_server->scratch);
        writeEarly(events);
        evbuffer_drain(m_server->scratch, evbuffer_get_length(m_server->scratch));
        dropCallbacks();
    }

    void startStream(int status, const http_headers& headers) override
    {
        if (!m_message)
            return;
        addHeaders(headers);
        evhttp_send_reply_start(m_message, status, nullptr);
    }

    void sendPart(std::string_view bytes) override
    {
        if (!m_message || bytes.empty())
            return;
        evbuffer_add(m_server->scratch, bytes.data(), bytes.size());
        const auto onSent
            = [](evhttp_connection*, void* self) { static_cast<evhttp_server_request*>(self)->reportSent(); };
        evhttp_send_reply_chunk_with_cb(m_message, m_server->scratch, onSent, this);
    }

    void endStream() override
    {
        if (!m_message)
            return;
        evhttp_request* message = release();
        evhttp_send_reply_end(message);
        dropCallbacks();
    }

    void abort() override
    {
        closeConnection();
        dropCallbacks();
    }

    size_t unsentBytes() const override
    {
        if (!m_message)
            return 0;
        return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)));
    }

    void setHangUpCallback(std::function<void()> callback) override { m_onHangUp = std::move(callback); }
    void callWhenSent(std::function<void()> callback) override { m_onSent = std::move(callback); }

    // The connection is going down. A request that evhttp has taken off the connection is freed here.
    void forget()
    {
        const auto self = shared_from_this();
        evhttp_request* message = release();
        if (message && !evhttp_request_get_connection(message))
            evhttp_request_free(message);
        reportHangUp();
    }

private:
    // Watches the socket for a close by the caller. evhttp does not read while a response is pending and so does not
    // see it; reading on its behalf would make it treat a pipelined request as a fault of its own.
    void watchHangUp()
    {
        const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
        const auto onClosed = [](evutil_socket_t, short, void* argument) {
            const auto self = static_cast<evhttp_server_request*>(argument)->shared_from_this();
            self->closeConnection();
            self->reportHangUp();
        };
        m_closeWatch = event_new(m_server->loop.base(), socket, EV_CLOSED, onClosed, this);
        event_add(m_closeWatch, nullptr);
        const auto onConnectionClosed
            = [](evhttp_connection*, void* argument) { static_cast<evhttp_server_request*>(argument)->forget(); };
        evhttp_connection_set_closecb(m_connection, onConnectionClosed, this);
    }

    void closeConnection()
    {
        if (!m_message)
            return;
        evhttp_connection* connection = m_connection;
        release();
        // evhttp may free the connection first, and then says so.
        auto freed = std::make_shared<bool>(false);
        const auto onFreed = [](evhttp_connection*, void* flag) { *static_cast<bool*>(flag) = true; };
        evhttp_connection_set_closecb(connection, onFreed, freed.get());
        m_server->loop.post([connection, freed] {
            if (!*freed)
                evhttp_connection_free(connection);
        });
    }

    // A callback may hold what holds this request; once nothing more can happen, the loop lets go of it.
    void dropCallbacks()
    {
        if (m_onHangUp || m_onSent)
            m_server->loop.post([hangUp = std::move(m_onHangUp), sent = std::move(m_onSent)] {});
        m_onHangUp = nullptr;
        m_onSent = nullptr;
    }

    void reportHangUp()
    {
        const auto callback = std::exchange(m_onHangUp, nullptr);
        if (callback)
            callback();
    }

    void reportSent()
    {
        const auto self = shared_from_this();
        const auto callback = std::exchange(m_onSent, nullptr);
        if (callback)
            callback();
    }

    void addHeaders(const http_headers& headers)
    {
        evkeyvalq* output = evhttp_request_get_output_headers(m_message);
        for (const auto& [name, value] : headers)
            evhttp_add_header(output, name.c_str(), value.c_str());
        if (m_server->closing)
            evhttp_add_header(output, "Connection", "close");
    }

    // Stops watching and hands the evhttp request over to whoever completes it.
    evhttp_request* release()
    {
        if (!m_message)
            return nullptr;
        event_free(std::exchange(m_closeWatch, nullptr));
        evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
        m_server->open.erase(this);
        return std::exchange(m_message, nullptr);
    }

    details* m_server;
    evhttp_request* m_message;
    evhttp_connection* m_connection;
    http_request m_request;
    std::string m_callerAddress;
    event* m_closeWatch = nullptr;
    std::function<void()> m_onHangUp;
    std::function<void()> m_onSent;
};

http_server::http_server(
    event_loop& loop, const endpoint& listenAddress, const http_server_limits& limits, handler handler)
    : m_details(new details { loop, nullptr, nullptr, nullptr, listenAddress, std::move(handler), false, {} })
{
    m_details->scratch = evbuffer_new();
    m_details->http = evhttp_new(loop.base());
    evhttp* http = m_details->http;
    evhttp_set_max_headers_size(http, static_cast<ev_ssize_t>(limits.maximumHeaderBytes));
    evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(limits.maximumBodyBytes));
    evhttp_set_timeout(
        http, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(limits.idleTimeout).count()));
    evhttp_set_default_content_type(http, nullptr);
    evhttp_set_allowed_methods(http,
        EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
            | EVHTTP_REQ_PATCH);
    const auto onRequest = [](evhttp_request* message, void* argument) {
        auto* server = static_cast<details*>(argument);
        const int enabled = 1;
        const evutil_socket_t socket
            = bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(message)));
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        server->handler(std::make_shared<evhttp_server_request>(*server, message));
    };
    evhttp_set_gencb(http, onRequest, m_details.get());
    m_details->listener = bindListener(loop.base(), http, listenAddress);
    if (!m_details->listener) {
        const int problem = errno;
        evhttp_free(http);
        evbuffer_free(m_details->scratch);
        throw system_error("cannot listen on " + listenAddress.text(), problem);
    }
    socket_address bound;
    getsockname(evhttp_bound_socket_get_fd(m_details->listener), bound.get(), &bound.length);
    m_details->address = toEndpoint(bound);
}

http_server::~http_server()
{
    const std::set<evhttp_server_request*> open = m_details->open;
    for (evhttp_server_request* request : open)
        request->forget();
    evhttp_free(m_details->http);
    evbuffer_free(m_details->scratch);
}

const endpoint& http_server::address() const { return m_details->address; }

void http_server::stopAccepting()
{
    if (m_details->listener)
        evhttp_del_accept_socket(m_details->http, std::exchange(m_details->listener, nullptr));
}

void http_server::setClosing(bool closing) { m_details->closing = closing; }

size_t http_server::openRequests() const { return m_details->open.size(); }

} // namespace pollen
