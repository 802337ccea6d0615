#include "client_connection.h"

#include "header_text.h"
#include "immediate_write.h"
#include <algorithm>
#include <base/socket_address.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace pollen {

namespace {

constexpr size_t maximumHeaderBytes = 64U << 10;
// Effectively disables the parser's body limit: each exchange enforces its own maximumBodyBytes.
constexpr size_t unlimitedBodyBytes = size_t { 1 } << 40;
constexpr int firstFinalStatus = 200;
// Limits for interim responses and late responses to other requests that precede the expected response.
constexpr size_t maximumSkippedResponses = 16;
constexpr size_t maximumSkippedBytes = 1U << 20;
// A connection remembers every request that it has carried, and is retired after so many.
constexpr size_t maximumExchanges = 512;

// Idle time-out announced in the Keep-Alive header of the response, if any.
std::optional<duration> keepAliveTimeout(const http_headers& headers)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view value = findHeader(headers, "Keep-Alive");
    const size_t start = value.find(name);
    if (start == std::string_view::npos)
        return std::nullopt;
    return std::chrono::seconds(std::atoi(std::string(value.substr(start + name.size())).c_str()));
}

// The server has closed or reset the connection, so that reading reaches its end. Other errors of a write do not tell.
bool isClosedByServer(int socketError) { return socketError == EPIPE || socketError == ECONNRESET; }

bool bodyExpected(const std::string& method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

void writeRequest(evbuffer* output, const http_request& request, const endpoint& server)
{
    evbuffer_add_printf(output, "%s %s HTTP/1.1\r\n", request.method.c_str(), request.target.c_str());
    if (findHeader(request.headers, "Host").empty())
        evbuffer_add_printf(output, "Host: %s\r\n", server.text().c_str());
    addHeaderLines(output, request.headers);
    if (!request.body.empty() || bodyExpected(request.method))
        evbuffer_add_printf(output, "Content-Length: %zu\r\n", request.body.size());
    evbuffer_add(output, "\r\n", 2);
    evbuffer_add(output, request.body.data(), request.body.size());
}

} // namespace

client_connection::client_connection(event_loop& loop, const endpoint& server)
    : m_loop(loop)
    , m_server(server)
    , m_bufferEvent(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    const auto onRead = [](bufferevent*, void* self) { static_cast<client_connection*>(self)->process(); };
    const auto onEvent
        = [](bufferevent*, short what, void* self) { static_cast<client_connection*>(self)->onEvent(what); };
    bufferevent_setcb(m_bufferEvent, onRead, nullptr, onEvent, this);
    const auto onOutput = [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        static_cast<client_connection*>(self)->m_bytesSent += info->n_deleted;
    };
    evbuffer_add_cb(bufferevent_get_output(m_bufferEvent), onOutput, this);
    bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
    socket_address address = toSocketAddress(server);
    m_connectFailed = bufferevent_socket_connect(m_bufferEvent, address.get(), static_cast<int>(address.length)) != 0;
}
client_connection::~client_connection()
{
    if (m_bufferEvent)
        bufferevent_free(m_bufferEvent);
}

void client_connection::send(
    connection_listener& listener, const http_request& request, const exchange_options& options)
{
    m_exchange = &listener;
    m_bytesSent = 0;
    m_skippedResponses = 0;
    m_skippedBytes = 0;
    m_echoHeader = options.echoHeader;
    m_echoValue = options.echoValue;
    m_noBody = request.method == "HEAD";
    startParser();
    writeRequest(bufferevent_get_output(m_bufferEvent), request, m_server);
    if (m_connected)
        writeImmediately(m_bufferEvent);
}

bool client_connection::hasCarried(const std::string& echoValue) const
{
    const size_t digest = std::hash<std::string>()(echoValue);
    return !echoValue.empty()
        && std::find(m_carriedDigests.begin(), m_carriedDigests.end(), digest) != m_carriedDigests.end();
}

bool client_connection::release()
{
    m_exchange = nullptr;
    if (!m_echoValue.empty())
        m_carriedDigests.push_back(std::hash<std::string>()(m_echoValue));
    const bool clean = !m_closed && m_reusable && m_carriedDigests.size() < maximumExchanges
        && evbuffer_get_length(bufferevent_get_input(m_bufferEvent)) == 0
        && evbuffer_get_length(bufferevent_get_output(m_bufferEvent)) == 0;
    if (!clean) {
        close();
        return false;
    }
    bufferevent_enable(m_bufferEvent, EV_READ);
    m_hasCarriedExchange = true;
    m_parser.reset();
    return true;
}

void client_connection::close()
{
    m_exchange = nullptr;
    if (m_closed)
        return;
    m_closed = true;
    if (m_parser)
        m_parser->stop();
    bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
    m_loop.post([self = shared_from_this()] { bufferevent_free(std::exchange(self->m_bufferEvent, nullptr)); });
}

void client_connection::abort()
{
    if (m_closed)
        return;
    const linger resetAtOnce { 1, 0 };
    setsockopt(bufferevent_getfd(m_bufferEvent), SOL_SOCKET, SO_LINGER, &resetAtOnce, sizeof resetAtOnce);
    close();
}

void client_connection::pauseReading()
{
    if (!m_closed)
        bufferevent_disable(m_bufferEvent, EV_READ);
}
void client_connection::resumeReading()
{
    if (!m_closed)
        bufferevent_enable(m_bufferEvent, EV_READ);
}

void client_connection::startParser()
{
    m_skipping = false;
    m_beganBeforeRequestWasWritten = false;
    m_parser.emplace(static_cast<message_listener&>(*this), maximumHeaderBytes, unlimitedBodyBytes);
    if (m_noBody)
        m_parser->expectNoBody();
}

void client_connection::onEvent(short what)
{
    const auto self = shared_from_this();
    if (what & BEV_EVENT_CONNECTED) {
        m_connected = true;
        const int enabled = 1;
        setsockopt(bufferevent_getfd(m_bufferEvent), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        return;
    }
    // What arrived before the server closed the connection is read first: it may hold a whole response, such as a
    // refusal of a long request. The end of the connection is reported by reading. Before the first byte of a request
    // is written, nothing can be a response to it.
    const bool writeFailed = (what & BEV_EVENT_WRITING) && isClosedByServer(EVUTIL_SOCKET_ERROR());
    if (writeFailed && m_exchange && m_bytesSent > 0)
        return;
    if (what & BEV_EVENT_EOF) {
        process();
        if (isCompleteAtClose()) {
            m_reusable = false;
            m_exchange->onComplete(true);
            return;
        }
    }
    fail(m_connected ? exchange_failure::ConnectionLost : exchange_failure::ConnectFailed, true);
}

// A reset, unlike an orderly close, never completes a response. A failed write consumes the error of a reset, and the
// next read then reports an orderly close; such a response began before its request was written.
bool client_connection::isCompleteAtClose()
{
    if (!m_exchange || m_closed || !m_parser || !m_parser->started() || m_skipping)
        return false;
    return m_parser->feedEof() == parse_state::Complete && !m_beganBeforeRequestWasWritten;
}

void client_connection::fail(exchange_failure failure, bool refused)
{
    if (m_closed)
        return;
    connection_listener* exchange = m_exchange;
    if (!exchange) {
        close();
        return;
    }
    abort();
    exchange->onFailed(failure, refused);
}

void client_connection::process()
{
    const auto self = shared_from_this();
    evbuffer* input = bufferevent_get_input(m_bufferEvent);
    while (!m_closed && evbuffer_get_length(input) > 0) {
        if (!m_exchange || !m_parser) {
            // Unsolicited data.
            close();
            return;
        }
        if (!m_parser->started() && evbuffer_get_length(bufferevent_get_output(m_bufferEvent)) > 0)
            m_beganBeforeRequestWasWritten = true;
        const parse_state state = m_parser->feed(input);
        if (m_closed || state == parse_state::NeedsMore)
            return;
        if (state != parse_state::Complete) {
            fail(exchange_failure::MalformedResponse, false);
            return;
        }
        if (m_skipping || m_parser->status() < firstFinalStatus) {
            if (!countSkippedResponse())
                return;
            startParser();
            continue;
        }
        m_reusable = m_parser->keepAlive() && !m_hasSkippedResponse;
        m_exchange->onComplete(false);
        return;
    }
}

bool client_connection::countSkippedResponse()
{
    if (++m_skippedResponses <= maximumSkippedResponses)
        return true;
    fail(exchange_failure::MalformedResponse, false);
    return false;
}

void client_connection::onMessageHead()
{
    if (m_parser->status() < firstFinalStatus)
        return;
    const http_headers& headers = m_parser->headers();
    const std::string_view echo = m_echoHeader.empty() ? std::string_view {} : findHeader(headers, m_echoHeader);
    if (!echo.empty() && echo != m_echoValue) {
        m_skipping = true;
        m_hasSkippedResponse = true;
        return;
    }
    // A response that names no request may be a repeated one to an earlier request.
    if (echo.empty() && !m_echoHeader.empty() && m_hasCarriedExchange) {
        fail(exchange_failure::MalformedResponse, false);
        return;
    }
    m_keepAliveTimeout = pollen::keepAliveTimeout(headers);
    if (m_exchange)
        m_exchange->onHead(m_parser->status(), headers);
}

void client_connection::onMessageBody(std::string_view bytes)
{
    if (!m_skipping && m_exchange) {
        m_exchange->onBody(bytes);
        return;
    }
    m_skippedBytes += bytes.size();
    if (m_skippedBytes > maximumSkippedBytes)
        fail(exchange_failure::MalformedResponse, false);
}

} // namespace pollen
