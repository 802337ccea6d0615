#include <http/http_server.h>

#include "header_text.h"
#include "immediate_write.h"
#include "message_parser.h"
#include "request_body.h"
#include <algorithm>
#include <base/error.h>
#include <base/socket_address.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <strings.h>

namespace pollen {

namespace {

// Maximum number of connections that wait to be accepted. A burst of callers overflows the default of 128, and the
// callers dropped would retry only after a second.
constexpr int listenBacklog = 4096;

// Reading stops while this much is buffered behind a request that is being processed.
constexpr size_t readAheadBytes = 64U << 10;

// How long received bytes are discarded before the connection is closed. Closing with unread bytes would send a reset,
// which can make the caller lose the response.
constexpr duration lingerTimeout = std::chrono::seconds(1);

// A repeated request may reach another process that has newer limits.
constexpr duration retryAfterOutdated = std::chrono::milliseconds(800);

// How long no connection is accepted after the system had no descriptor for one. The listening socket stays readable,
// so that the loop would spin otherwise.
constexpr duration acceptPause = std::chrono::milliseconds(100);

// Connections accepted in a row before the event loop runs its other tasks. The descriptors of connections that are
// closed for new ones are freed only there, so that a burst would use up all descriptors.
constexpr size_t acceptsPerTurn = 64;

// Time after which a request that was refused at a limit over all connections may be sent again.
constexpr const char* retryAfterLimit = "1";

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusUnavailable = 503;

// Sent to a connection that is refused before its request is read.
constexpr std::string_view connectionRefusal
    = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nContent-Length: 54\r\n"
      "Connection: close\r\n\r\n{\"error\":{\"run\":\"not_run\",\"type\":\"too_many_callers\"}}\n";

struct refusal {
    int status;
    const char* type;
    std::optional<duration> retryAfter = std::nullopt;
};

refusal toRefusal(parse_state state, bool limitsOutdated)
{
    if (limitsOutdated && (state == parse_state::HeaderTooLarge || state == parse_state::BodyTooLarge))
        return { statusUnavailable, "limits_outdated", retryAfterOutdated };
    switch (state) {
    case parse_state::HeaderTooLarge:
        return { 431, "header_too_large" };
    case parse_state::BodyTooLarge:
        return { 413, "body_too_large" };
    case parse_state::FramingTooLarge:
        return { 400, "framing_too_large" };
    default:
        return { 400, "malformed_request" };
    }
}

bool areOutdated(const http_server_limits& limits) { return os_clock().now() > limits.newestUntil; }

bool hasNoBody(int status) { return status == statusNoContent || status == statusNotModified; }

const char* reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

namespace {

// For a server that has no limits over its connections.
constexpr connection_limits unlimitedConnections { SIZE_MAX, SIZE_MAX, SIZE_MAX };

} // namespace

struct http_server::details {
    details(event_loop& eventLoop, const http_server_limits& serverLimits, http_server::handler requestHandler,
        std::shared_ptr<connection_budget> sharedBudget)
        : loop(eventLoop)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , budget(
              sharedBudget ? std::move(sharedBudget) : std::make_shared<connection_budget>(unlimitedConnections, time))
        , acceptTimer(loop, [this] { evconnlistener_enable(listener); })
    {
    }

    event_loop& loop;
    os_clock time;
    http_server_limits limits;
    http_server::handler handler;
    std::shared_ptr<connection_budget> budget;
    timer acceptTimer;
    evconnlistener* listener = nullptr;
    size_t acceptsInTurn = 0;
    endpoint address;
    bool closing = false;
    size_t openRequests = 0;
    std::set<std::shared_ptr<connection>> connections;
};

// The handler's interface to one request; detached from its connection when the response is complete or the caller has
// disconnected.
class http_server::connection_request final : public server_request {
public:
    connection_request(connection* connection, http_request request, std::string callerAddress)
        : m_connection(connection)
        , m_request(std::move(request))
        , m_callerAddress(std::move(callerAddress))
    {
    }
    ~connection_request() override
    {
        if (m_connection)
            connection_request::abort();
    }

    const http_request& request() const override { return m_request; }
    const std::string& callerAddress() const override { return m_callerAddress; }
    void reply(int status, const http_headers& headers, std::string_view body) override;
    void startStream(int status, const http_headers& headers) override;
    void startUnframedStream(int status, const http_headers& headers) override;
    void sendPart(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    size_t unsentBytes() const override;
    void setHangUpCallback(std::function<void()> callback) override { m_onHangUp = std::move(callback); }
    void callWhenSent(std::function<void()> callback) override { m_onSent = std::move(callback); }

    // Detaches the request from its connection and destroys the callbacks from the event loop, because they may own the
    // last reference to this request.
    void detach(event_loop& loop)
    {
        m_connection = nullptr;
        if (m_onHangUp || m_onSent)
            loop.post([hangUp = std::move(m_onHangUp), sent = std::move(m_onSent)] {});
        m_onHangUp = nullptr;
        m_onSent = nullptr;
    }

    std::function<void()> takeHangUpCallback() { return std::exchange(m_onHangUp, nullptr); }

    void notifySent()
    {
        const auto callback = std::exchange(m_onSent, nullptr);
        if (callback)
            callback();
    }

private:
    connection* m_connection;
    http_request m_request;
    std::string m_callerAddress;
    std::function<void()> m_onHangUp;
    std::function<void()> m_onSent;
};

class http_server::connection final : public std::enable_shared_from_this<connection>,
                                      private message_listener,
                                      private limited_connection {
public:
    connection(const std::shared_ptr<details>& server, evutil_socket_t socket, std::string callerAddress)
        : m_server(server)
        , m_budget(server->budget)
        , m_account(std::in_place, *m_budget, static_cast<limited_connection&>(*this))
        , m_loop(server->loop)
        , m_callerAddress(std::move(callerAddress))
        , m_bufferEvent(bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
        , m_timer(m_loop, [this] { onTimeout(); })
    {
        const auto onClosed
            = [](evutil_socket_t, short, void* self) { static_cast<connection*>(self)->onCallerDisconnected(); };
        m_disconnectEvent = event_new(m_loop.base(), socket, EV_CLOSED, onClosed, this);
        const int enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        const auto onRead = [](bufferevent*, void* self) { static_cast<connection*>(self)->process(); };
        const auto onWritten = [](bufferevent*, void* self) { static_cast<connection*>(self)->onDrained(); };
        const auto onEvent = [](bufferevent*, short what, void* self) {
            if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                static_cast<connection*>(self)->onCallerDisconnected();
        };
        bufferevent_setcb(m_bufferEvent, onRead, onWritten, onEvent, this);
        const auto onOutput = [](evbuffer* output, const evbuffer_cb_info* info, void* argument) {
            auto* self = static_cast<connection*>(argument);
            self->holdResponse(evbuffer_get_length(output), info->n_deleted > 0);
            if (info->n_deleted > 0)
                self->onSendProgress();
        };
        evbuffer_add_cb(bufferevent_get_output(m_bufferEvent), onOutput, this);
        bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
        m_timer.startOnce(server->limits.idleTimeout);
    }
    ~connection() override
    {
        event_free(m_disconnectEvent);
        if (m_bufferEvent)
            bufferevent_free(m_bufferEvent);
    }

    bool isIdle() const { return !m_busy && !m_closed && !m_finishing && !(m_parser && m_parser->started()); }

    size_t unsentBytes() const { return m_closed ? 0 : evbuffer_get_length(bufferevent_get_output(m_bufferEvent)); }

    void reply(int status, const http_headers& headers, std::string_view body)
    {
        if (m_closed)
            return;
        writeHead(status, headers, "Content-Length: " + std::to_string(body.size()));
        if (m_method != "HEAD" && !hasNoBody(status))
            bufferevent_write(m_bufferEvent, body.data(), body.size());
        writeImmediately(m_bufferEvent);
        completeResponse();
    }

    void startStream(int status, const http_headers& headers)
    {
        if (m_closed)
            return;
        writeHead(status, headers, "Transfer-Encoding: chunked");
        writeImmediately(m_bufferEvent);
    }

    void startUnframedStream(int status, const http_headers& headers)
    {
        if (m_closed)
            return;
        m_keepAlive = false;
        m_isUnframed = true;
        resetAtClose(true);
        writeHead(status, headers, "");
        writeImmediately(m_bufferEvent);
    }

    void sendPart(std::string_view bytes)
    {
        if (m_closed || bytes.empty() || m_method == "HEAD")
            return;
        evbuffer* output = bufferevent_get_output(m_bufferEvent);
        const bool wasDrained = unsentBytes() == 0;
        if (!m_isUnframed)
            evbuffer_add_printf(output, "%zx\r\n", bytes.size());
        evbuffer_add(output, bytes.data(), bytes.size());
        if (!m_isUnframed)
            evbuffer_add(output, "\r\n", 2);
        if (wasDrained)
            startSendTimer();
        writeImmediately(m_bufferEvent);
    }

    void endStream()
    {
        if (m_closed)
            return;
        if (m_method != "HEAD" && !m_isUnframed)
            bufferevent_write(m_bufferEvent, "0\r\n\r\n", 5);
        writeImmediately(m_bufferEvent);
        completeResponse();
    }

    // The bufferevent is freed later from the event loop, because this may run inside one of its callbacks.
    void close()
    {
        if (m_closed)
            return;
        m_closed = true;
        m_timer.stop();
        if (m_parser)
            m_parser->stop();
        bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
        event_del(m_disconnectEvent);
        detachRequest();
        m_account.reset();
        const auto self = shared_from_this();
        if (const auto server = m_server.lock())
            server->connections.erase(self);
        m_loop.post([self] { bufferevent_free(std::exchange(self->m_bufferEvent, nullptr)); });
    }

private:
    // Parses the input and dispatches at most one request. Those behind it follow in later turns of the event loop, so
    // that a caller that pipelines does not keep others waiting.
    void process()
    {
        const auto self = shared_from_this();
        if (m_closed)
            return;
        evbuffer* input = bufferevent_get_input(m_bufferEvent);
        // The next request waits until the caller has read the last response, which bounds the responses to pipelined
        // requests.
        if (m_finishing)
            evbuffer_drain(input, evbuffer_get_length(input));
        else if (!m_busy && (m_parser || unsentBytes() == 0) && evbuffer_get_length(input) > 0)
            readRequest(input);
        limitReadAhead();
    }

    // Stops reading while too much is buffered behind the current request, here or over all connections. A caller that
    // disconnects meanwhile shows only on the socket itself.
    void limitReadAhead()
    {
        if (m_closed)
            return;
        const size_t unparsed = evbuffer_get_length(bufferevent_get_input(m_bufferEvent));
        const bool isWaiting = !m_parser && !m_finishing;
        const bool withinBudget = !isWaiting || m_account->holdReadAhead(m_runningBytes + unparsed);
        const bool isFull = isWaiting && unparsed > 0 && (unparsed >= readAheadBytes || !withinBudget);
        if (std::exchange(m_readingStopped, isFull) == isFull)
            return;
        if (isFull) {
            bufferevent_disable(m_bufferEvent, EV_READ);
            event_add(m_disconnectEvent, nullptr);
        } else {
            event_del(m_disconnectEvent);
            bufferevent_enable(m_bufferEvent, EV_READ);
        }
    }

    void readRequest(evbuffer* input)
    {
        const auto server = m_server.lock();
        if (!server)
            return;
        if (!m_parser) {
            m_body.restart(server->limits.maximumBodyBytes);
            m_account->setReceiving();
            m_idleTimeout = server->limits.idleTimeout;
            m_limitsOutdated = areOutdated(server->limits);
            m_parser.emplace(static_cast<message_listener&>(*this), server->limits.maximumHeaderBytes,
                server->limits.maximumBodyBytes);
            m_timer.startOnce(server->limits.headerTimeout);
        }
        const bool hadHead = m_parser->headComplete();
        const size_t bodyBytes = m_body.size();
        const parse_state state = m_parser->feed(input);
        if (m_closed)
            return;
        m_account->recordReceived(m_body.size() - bodyBytes);
        if (m_exceedsBudget || !holdArriving(evbuffer_get_length(input), state)) {
            refuseAtLimit();
            return;
        }
        if (state == parse_state::NeedsMore) {
            // Only the head and bytes of the body count as progress, framing does not.
            if (m_parser->headComplete() && (!hadHead || m_body.size() > bodyBytes))
                m_timer.startOnce(m_idleTimeout);
            return;
        }
        if (state != parse_state::Complete) {
            refuse(toRefusal(state, m_limitsOutdated || areOutdated(server->limits)));
            return;
        }
        m_timer.stop();
        m_method = m_parser->method();
        m_keepAlive = m_parser->keepAlive();
        http_request request { m_method, m_parser->target(), std::move(m_parser->headers()), m_body.take() };
        m_parser.reset();
        m_body.restart(0);
        m_account->setRunning();
        ++server->openRequests;
        m_countedAsOpen = true;
        const auto current = std::make_shared<connection_request>(this, std::move(request), m_callerAddress);
        m_busy = true;
        m_current = current;
        server->handler(current);
    }

    // Counts the request so far, or with its copies once it is complete; returns false if the limit is reached.
    bool holdArriving(size_t unparsedBytes, parse_state state)
    {
        if (state == parse_state::NeedsMore)
            return m_account->holdRequest(m_parser->headMemory() + m_body.capacity() + unparsedBytes);
        if (state != parse_state::Complete)
            return true;
        m_runningBytes = (m_parser->headMemory() + m_body.capacity()) * copiesOfRunningRequest;
        return m_account->holdRequest(m_runningBytes);
    }

    void onMessageHead() override
    {
        if (const auto length = m_parser->announcedLength())
            m_body.restart(*length);
        const bool expects
            = strcasecmp(std::string(findHeader(m_parser->headers(), "Expect")).c_str(), "100-continue") == 0;
        if (expects)
            bufferevent_write(m_bufferEvent, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }

    void onMessageBody(std::string_view bytes) override
    {
        if (!m_account->holdRequest(m_parser->headMemory() + m_body.capacityWith(bytes.size()))) {
            m_exceedsBudget = true;
            m_parser->stop();
            return;
        }
        m_body.append(bytes);
    }

    void refuseUnfinished() override { refuseAtLimit(); }
    void closeAtLimit() override { onCallerDisconnected(); }

    // Refuses the request that is arriving, because of the limits over all connections.
    void refuseAtLimit()
    {
        evbuffer* input = bufferevent_get_input(m_bufferEvent);
        evbuffer_drain(input, evbuffer_get_length(input));
        refuse({ statusUnavailable, "too_many_bytes_held" });
    }

    void holdResponse(size_t bytes, bool progress)
    {
        if (!m_account)
            return;
        m_account->holdResponse(bytes, progress);
        // Closing a caller calls back into the handler, which may be the one that writes now.
        if (m_budget->responsesExceedLimit())
            m_loop.post([budget = m_budget] { budget->closeStalledReaders(); });
    }

    void refuse(const refusal& reason)
    {
        const std::string body = std::string("{\"error\":{\"run\":\"not_run\",\"type\":\"") + reason.type + "\"}}\n";
        m_keepAlive = false;
        m_method = "GET";
        // The caller may stay connected for a while, so that what is held for the request is freed now.
        m_parser.reset();
        m_body.restart(0);
        http_headers headers { { "Content-Type", "application/json" } };
        if (reason.retryAfter)
            headers.emplace_back("Retry-After", std::to_string(toSeconds(*reason.retryAfter)));
        else if (reason.status == statusUnavailable)
            headers.emplace_back("Retry-After", retryAfterLimit);
        writeHead(reason.status, headers, "Content-Length: " + std::to_string(body.size()));
        bufferevent_write(m_bufferEvent, body.data(), body.size());
        writeImmediately(m_bufferEvent);
        completeResponse();
    }

    // framing: the header line that tells how the body ends; empty if there is none.
    void writeHead(int status, const http_headers& headers, const std::string& framing)
    {
        const auto server = m_server.lock();
        if (!server || server->closing)
            m_keepAlive = false;
        evbuffer* output = bufferevent_get_output(m_bufferEvent);
        evbuffer_add_printf(output, "HTTP/1.1 %d %s\r\n", status, reasonPhrase(status));
        addHeaderLines(output, headers);
        if (!framing.empty() && !hasNoBody(status))
            evbuffer_add_printf(output, "%s\r\n", framing.c_str());
        evbuffer_add_printf(output, m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n");
    }

    void completeResponse()
    {
        detachRequest();
        limitReadAhead();
        const auto server = m_server.lock();
        if (!server || server->closing)
            m_keepAlive = false;
        if (!m_keepAlive) {
            m_finishing = true;
            m_timer.startOnce(m_idleTimeout);
            if (unsentBytes() == 0)
                onDrained();
            return;
        }
        m_timer.startOnce(m_idleTimeout);
        if (evbuffer_get_length(bufferevent_get_input(m_bufferEvent)) > 0)
            m_loop.post([self = shared_from_this()] { self->process(); });
    }

    void detachRequest()
    {
        if (m_countedAsOpen) {
            m_countedAsOpen = false;
            if (const auto server = m_server.lock())
                --server->openRequests;
        }
        m_busy = false;
        m_runningBytes = 0;
        m_account->holdRequest(0);
        m_account->setIdle();
        if (const auto current = m_current.lock())
            current->detach(m_loop);
        m_current.reset();
    }

    void startSendTimer() { m_timer.startOnce(m_server.expired() ? lingerTimeout : m_idleTimeout); }

    // The socket has taken bytes. What the handler adds to the output is no progress of the caller's.
    void onSendProgress()
    {
        if (!m_closed && !m_lingering && unsentBytes() > 0)
            startSendTimer();
    }

    void onDrained()
    {
        const auto self = shared_from_this();
        if (m_closed || unsentBytes() > 0)
            return;
        if (m_busy) {
            if (const auto current = m_current.lock())
                current->notifySent();
            return;
        }
        // A pipelined request may have waited for this.
        if (!m_finishing && !m_parser && evbuffer_get_length(bufferevent_get_input(m_bufferEvent)) > 0)
            m_loop.post([self] { self->process(); });
        if (!m_finishing || m_lingering)
            return;
        m_lingering = true;
        if (m_isUnframed)
            resetAtClose(false);
        shutdown(bufferevent_getfd(m_bufferEvent), SHUT_WR);
        m_timer.startOnce(lingerTimeout);
    }

    // Whether a close of the connection, also by the end of the process, is a reset.
    void resetAtClose(bool enabled)
    {
        const linger option { enabled ? 1 : 0, 0 };
        setsockopt(bufferevent_getfd(m_bufferEvent), SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

    void onCallerDisconnected()
    {
        const auto self = shared_from_this();
        std::function<void()> hangUp;
        if (const auto current = m_current.lock())
            hangUp = current->takeHangUpCallback();
        close();
        if (hangUp)
            hangUp();
    }

    void onTimeout()
    {
        if (m_busy && unsentBytes() == 0)
            return;
        onCallerDisconnected();
    }

    std::weak_ptr<details> m_server;
    std::shared_ptr<connection_budget> m_budget;
    // Empty once the connection is closed.
    std::optional<connection_budget::account> m_account;
    event_loop& m_loop;
    std::string m_callerAddress;
    bufferevent* m_bufferEvent;
    // Tells of a caller that disconnects while reading is stopped.
    event* m_disconnectEvent = nullptr;
    bool m_readingStopped = false;
    timer m_timer;
    std::optional<request_parser> m_parser;
    request_body m_body;
    // Memory of the request that runs, with its copies.
    size_t m_runningBytes = 0;
    // The limit over all connections was reached while the body was parsed.
    bool m_exceedsBudget = false;
    std::string m_method;
    duration m_idleTimeout { 0 };
    // Whether the limits of the current request were outdated when it began.
    bool m_limitsOutdated = false;
    bool m_keepAlive = true;
    // The response ends with the connection.
    bool m_isUnframed = false;
    bool m_countedAsOpen = false;
    bool m_closed = false;
    // The last response is being written; further input is discarded.
    bool m_finishing = false;
    bool m_lingering = false;

    // A request is waiting for its response. The handler owns the request; dropping it aborts the connection.
    bool m_busy = false;
    std::weak_ptr<connection_request> m_current;
};

void http_server::connection_request::reply(int status, const http_headers& headers, std::string_view body)
{
    if (m_connection)
        m_connection->reply(status, headers, body);
}

void http_server::connection_request::startStream(int status, const http_headers& headers)
{
    if (m_connection)
        m_connection->startStream(status, headers);
}

void http_server::connection_request::startUnframedStream(int status, const http_headers& headers)
{
    if (m_connection)
        m_connection->startUnframedStream(status, headers);
}

void http_server::connection_request::sendPart(std::string_view bytes)
{
    if (m_connection)
        m_connection->sendPart(bytes);
}

void http_server::connection_request::endStream()
{
    if (m_connection)
        m_connection->endStream();
}

void http_server::connection_request::abort()
{
    if (m_connection)
        m_connection->close();
}

size_t http_server::connection_request::unsentBytes() const { return m_connection ? m_connection->unsentBytes() : 0; }

void http_server::limitAcceptsInTurn(const std::shared_ptr<details>& server)
{
    if (++server->acceptsInTurn < acceptsPerTurn)
        return;
    server->acceptsInTurn = 0;
    evconnlistener_disable(server->listener);
    // Runs after the tasks that free the displaced connections.
    server->loop.post([weak = std::weak_ptr<details>(server)] {
        const auto paused = weak.lock();
        if (paused && paused->listener)
            evconnlistener_enable(paused->listener);
    });
}

http_server::http_server(event_loop& loop, const endpoint& listenAddress, const http_server_limits& limits,
    handler handler, std::shared_ptr<connection_budget> budget)
    : m_details(std::make_shared<details>(loop, limits, std::move(handler), std::move(budget)))
{
    const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr* from, int length, void* self) {
        auto* server = static_cast<http_server*>(self);
        limitAcceptsInTurn(server->m_details);
        if (!server->m_details->budget->admit()) {
            // A failed write means that the caller has gone.
            static_cast<void>(::send(socket, connectionRefusal.data(), connectionRefusal.size(), MSG_NOSIGNAL));
            evutil_closesocket(socket);
            return;
        }
        socket_address caller;
        caller.length = static_cast<socklen_t>(length);
        std::copy_n(reinterpret_cast<const char*>(from), length, reinterpret_cast<char*>(&caller.storage));
        server->m_details->connections.insert(
            std::make_shared<connection>(server->m_details, socket, toEndpoint(caller).address));
    };
    socket_address address = toSocketAddress(listenAddress);
    constexpr unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE;
    m_details->listener = evconnlistener_new_bind(
        loop.base(), onAccept, this, flags, listenBacklog, address.get(), static_cast<int>(address.length));
    if (!m_details->listener)
        throw system_error("cannot listen on " + listenAddress.text(), errno);
    const auto onAcceptError = [](evconnlistener* listener, void* self) {
        auto& server = *static_cast<http_server*>(self)->m_details;
        server.budget->onAcceptFailed();
        evconnlistener_disable(listener);
        server.acceptTimer.startOnce(acceptPause);
    };
    evconnlistener_set_error_cb(m_details->listener, onAcceptError);
    socket_address bound;
    getsockname(evconnlistener_get_fd(m_details->listener), bound.get(), &bound.length);
    m_details->address = toEndpoint(bound);
}

http_server::~http_server()
{
    stopAccepting();
    const std::set<std::shared_ptr<connection>> open = m_details->connections;
    for (const auto& connection : open)
        connection->close();
}

const endpoint& http_server::address() const { return m_details->address; }

void http_server::setLimits(const http_server_limits& limits) { m_details->limits = limits; }

void http_server::stopAccepting()
{
    m_details->acceptTimer.stop();
    if (m_details->listener)
        evconnlistener_free(std::exchange(m_details->listener, nullptr));
}

void http_server::setClosing(bool closing) { m_details->closing = closing; }

void http_server::closeIdleConnections()
{
    const std::set<std::shared_ptr<connection>> open = m_details->connections;
    for (const auto& connection : open) {
        if (connection->isIdle())
            connection->close();
    }
}

size_t http_server::openRequests() const { return m_details->openRequests; }

size_t http_server::openConnections() const { return m_details->connections.size(); }

} // namespace pollen
