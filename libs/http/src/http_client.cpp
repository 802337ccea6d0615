#include <http/http_client.h>

#include "early_write.h"
#include "header_list.h"
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <map>
#include <set>

namespace pollen {

namespace {

constexpr size_t maximumIdleConnections = 512;
constexpr size_t maximumHeaderBytes = 64U << 10;

evhttp_cmd_type toCommand(const std::string& method)
{
    static const std::map<std::string, evhttp_cmd_type> commands {
        { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST },
        { "PUT", EVHTTP_REQ_PUT },
        { "DELETE", EVHTTP_REQ_DELETE },
        { "HEAD", EVHTTP_REQ_HEAD },
        { "PATCH", EVHTTP_REQ_PATCH },
        { "OPTIONS", EVHTTP_REQ_OPTIONS },
    };
    const auto found = commands.find(method);
    return found == commands.end() ? EVHTTP_REQ_GET : found->second;
}

exchange_failure toFailure(evhttp_request_error kind)
{
    switch (kind) {
    case EVREQ_HTTP_TIMEOUT:
        return exchange_failure::TimedOut;
    case EVREQ_HTTP_INVALID_HEADER:
        return exchange_failure::MalformedResponse;
    case EVREQ_HTTP_DATA_TOO_LONG:
        return exchange_failure::ResponseTooLarge;
    default:
        return exchange_failure::ConnectionLost;
    }
}

} // namespace

const char* toText(exchange_failure failure)
{
    switch (failure) {
    case exchange_failure::None:
        return "none";
    case exchange_failure::ConnectFailed:
        return "connect_failed";
    case exchange_failure::ConnectionLost:
        return "connection_lost";
    case exchange_failure::TimedOut:
        return "timed_out";
    case exchange_failure::MalformedResponse:
        return "malformed_response";
    case exchange_failure::ResponseTooLarge:
        return "response_too_large";
    }
    return "connection_lost";
}

// One client connection with a count of the bytes that have left its output buffer.
struct pooled_connection {
    evhttp_connection* handle = nullptr;
    size_t bytesSent = 0;
    // It has carried an exchange before.
    bool usedBefore = false;
    // The exchange that evhttp's callbacks are for; null when it has been given up.
    void* exchange = nullptr;
};

// Kept connections by endpoint.
struct http_client::pool {
    explicit pool(event_loop& eventLoop)
        : loop(eventLoop)
    {
    }

    pooled_connection* open(const endpoint& server)
    {
        auto* connection = new pooled_connection;
        bufferevent* events = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        connection->handle
            = evhttp_connection_base_bufferevent_new(loop.base(), nullptr, events, server.address.c_str(), server.port);
        evhttp_connection_set_max_headers_size(connection->handle, maximumHeaderBytes);
        const auto onOutput = [](evbuffer*, const evbuffer_cb_info* info, void* counter) {
            static_cast<pooled_connection*>(counter)->bytesSent += info->n_deleted;
        };
        evbuffer_add_cb(bufferevent_get_output(events), onOutput, connection);
        return connection;
    }

    pooled_connection* take(const endpoint& server)
    {
        auto& idle = idleByEndpoint[server];
        if (idle.empty())
            return open(server);
        pooled_connection* connection = idle.back();
        idle.pop_back();
        return connection;
    }

    void put(const endpoint& server, pooled_connection* connection)
    {
        auto& idle = idleByEndpoint[server];
        connection->usedBefore = true;
        if (closed || idle.size() >= maximumIdleConnections) {
            loop.post([connection] { destroy(connection); });
            return;
        }
        idle.push_back(connection);
    }

    static void destroy(pooled_connection* connection)
    {
        evhttp_connection_free(connection->handle);
        delete connection;
    }

    void close()
    {
        closed = true;
        for (const auto& [server, idle] : idleByEndpoint) {
            for (pooled_connection* connection : idle)
                destroy(connection);
        }
        idleByEndpoint.clear();
    }

    event_loop& loop;
    bool closed = false;
    std::map<endpoint, std::vector<pooled_connection*>> idleByEndpoint;
    std::set<fetch_exchange*> fetches;
};

class http_client::evhttp_exchange final : public exchange {
public:
    evhttp_exchange(std::shared_ptr<pool> pool, const endpoint& server, http_request request, exchange_options options,
        exchange_listener& listener)
        : m_pool(std::move(pool))
        , m_server(server)
        , m_request(std::move(request))
        , m_options(options)
        , m_listener(listener)
        , m_deadline(m_pool->loop, [this] { onTimer(); })
        , m_alive(std::make_shared<bool>(true))
    {
        m_connection = options.freshConnection ? m_pool->open(server) : m_pool->take(server);
        send();
        m_deadline.startOnce(std::min(options.timeout, options.connectTimeout));
    }

    ~evhttp_exchange() override
    {
        *m_alive = false;
        abandon(false);
    }

    void pauseReading() override
    {
        if (m_connection)
            bufferevent_disable(evhttp_connection_get_bufferevent(m_connection->handle), EV_READ);
    }

    void resumeReading() override
    {
        if (m_connection)
            bufferevent_enable(evhttp_connection_get_bufferevent(m_connection->handle), EV_READ);
    }

    void closeAfterwards() override { m_closeAfterwards = true; }

private:
    static evhttp_exchange* current(void* connection)
    {
        return static_cast<evhttp_exchange*>(static_cast<pooled_connection*>(connection)->exchange);
    }

    void send()
    {
        m_connection->bytesSent = 0;
        m_connection->exchange = this;
        const auto wholeSeconds = std::chrono::duration_cast<std::chrono::seconds>(m_options.timeout).count();
        const timeval idleLimit { static_cast<time_t>(wholeSeconds + 1), 0 };
        evhttp_connection_set_timeout_tv(m_connection->handle, &idleLimit);
        const auto done = [](evhttp_request* message, void* connection) {
            if (evhttp_exchange* self = current(connection))
                self->onDone(message);
        };
        evhttp_request* message = evhttp_request_new(done, m_connection);
        evhttp_request_set_header_cb(message, [](evhttp_request* response, void* connection) {
            if (evhttp_exchange* self = current(connection))
                self->onHead(response);
            return 0;
        });
        evhttp_request_set_chunked_cb(message, [](evhttp_request* response, void* connection) {
            if (evhttp_exchange* self = current(connection))
                self->onChunk(response);
        });
        evhttp_request_set_error_cb(message, [](evhttp_request_error kind, void* connection) {
            if (evhttp_exchange* self = current(connection))
                self->m_failure = toFailure(kind);
        });
        evkeyvalq* headers = evhttp_request_get_output_headers(message);
        for (const auto& [name, value] : m_request.headers)
            evhttp_add_header(headers, name.c_str(), value.c_str());
        evhttp_add_header(headers, "Host", m_server.text().c_str());
        if (!m_request.body.empty())
            evbuffer_add(evhttp_request_get_output_buffer(message), m_request.body.data(), m_request.body.size());
        const evhttp_cmd_type command = toCommand(m_request.method);
        if (evhttp_make_request(m_connection->handle, message, command, m_request.target.c_str()) == 0) {
            writeEarly(evhttp_connection_get_bufferevent(m_connection->handle));
            return;
        }
        finishLater(exchange_failure::ConnectFailed);
    }

    void onTimer()
    {
        if (m_connection->bytesSent == 0) {
            finish(exchange_failure::ConnectFailed, closing::Now);
            return;
        }
        const duration rest = m_options.timeout - m_options.connectTimeout;
        if (m_connectTimePassed || rest.count() <= 0) {
            finish(exchange_failure::TimedOut, closing::Now);
            return;
        }
        m_connectTimePassed = true;
        m_deadline.startOnce(rest);
    }

    void onHead(evhttp_request* message)
    {
        constexpr int firstFinalStatus = 200;
        const int status = evhttp_request_get_response_code(message);
        if (status < firstFinalStatus)
            return;
        m_responseStarted = true;
        m_request = {};
        m_listener.onHead(status, copyHeaders(*evhttp_request_get_input_headers(message)));
    }

    void onChunk(evhttp_request* message)
    {
        evbuffer* input = evhttp_request_get_input_buffer(message);
        const size_t length = evbuffer_get_length(input);
        if (length == 0 || m_finished)
            return;
        m_bodyBytes += length;
        if (m_bodyBytes > m_options.maximumBodyBytes) {
            finishLater(exchange_failure::ResponseTooLarge);
            return;
        }
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
        m_listener.onData({ bytes, length });
    }

    void onDone(evhttp_request* message)
    {
        if (!message || evhttp_request_get_response_code(message) == 0) {
            const bool sent = m_connection->bytesSent > 0;
            if (m_failure == exchange_failure::None || !sent)
                m_failure = sent ? exchange_failure::ConnectionLost : exchange_failure::ConnectFailed;
            if (m_failure == exchange_failure::ConnectionLost && maySendAgain())
                sendAgain();
            else
                finish(m_failure, closing::Later);
            return;
        }
        const char* connectionHeader = evhttp_find_header(evhttp_request_get_input_headers(message), "Connection");
        const bool close = connectionHeader && evutil_ascii_strcasecmp(connectionHeader, "close") == 0;
        // Body bytes that evhttp did not hand over chunk by chunk.
        const auto alive = m_alive;
        onChunk(message);
        if (!*alive)
            return;
        const bool keep = !close && !m_closeAfterwards && !m_options.freshConnection;
        finish(exchange_failure::None, keep ? closing::Keep : closing::Later);
    }

    bool maySendAgain() const
    {
        return m_options.repeatable && m_connection->usedBefore && !m_responseStarted && !m_options.freshConnection;
    }

    void sendAgain()
    {
        abandon(false);
        m_finished = false;
        m_failure = exchange_failure::None;
        m_connection = m_pool->open(m_server);
        send();
    }

    void finishLater(exchange_failure failure)
    {
        m_pool->loop.post([this, failure, alive = m_alive] {
            if (*alive)
                finish(failure, closing::Now);
        });
    }

    // What becomes of the connection. Inside an evhttp callback it must not be freed, only later from the loop.
    enum class closing { Keep, Now, Later };

    void finish(exchange_failure failure, closing how)
    {
        if (m_finished)
            return;
        m_finished = true;
        m_deadline.stop();
        const exchange_result result { failure, m_connection->bytesSent > 0, m_responseStarted };
        if (how == closing::Keep) {
            m_connection->exchange = nullptr;
            m_pool->put(m_server, std::exchange(m_connection, nullptr));
        } else {
            abandon(how == closing::Now);
        }
        m_listener.onFinished(result);
    }

    // Gives up the connection. Freeing it also frees a request that is still queued on it, without a callback.
    void abandon(bool now)
    {
        m_finished = true;
        if (!m_connection)
            return;
        pooled_connection* connection = std::exchange(m_connection, nullptr);
        connection->exchange = nullptr;
        if (now)
            pool::destroy(connection);
        else
            m_pool->loop.post([connection] { pool::destroy(connection); });
    }

    std::shared_ptr<pool> m_pool;
    endpoint m_server;
    http_request m_request;
    exchange_options m_options;
    exchange_listener& m_listener;
    timer m_deadline;
    std::shared_ptr<bool> m_alive;
    pooled_connection* m_connection = nullptr;
    exchange_failure m_failure = exchange_failure::None;
    size_t m_bodyBytes = 0;
    bool m_connectTimePassed = false;
    bool m_closeAfterwards = false;
    bool m_responseStarted = false;
    bool m_finished = false;
};

class http_client::fetch_exchange final : public exchange_listener {
public:
    fetch_exchange(std::shared_ptr<pool> pool, fetch_callback callback)
        : m_pool(std::move(pool))
        , m_callback(std::move(callback))
    {
        m_pool->fetches.insert(this);
    }

    ~fetch_exchange() override { m_pool->fetches.erase(this); }

    void own(std::unique_ptr<exchange> exchange) { m_exchange = std::move(exchange); }

    void onHead(int status, const http_headers& headers) override
    {
        m_response.status = status;
        m_response.headers = headers;
    }

    void onData(std::string_view bytes) override { m_response.body += bytes; }

    void onFinished(const exchange_result& result) override
    {
        m_pool->fetches.erase(this);
        m_pool->loop.post([this] { delete this; });
        m_callback(result, m_response);
    }

private:
    std::shared_ptr<pool> m_pool;
    fetch_callback m_callback;
    std::unique_ptr<exchange> m_exchange;
    http_response m_response;
};

http_client::http_client(event_loop& loop)
    : m_pool(std::make_shared<pool>(loop))
{
}

http_client::~http_client()
{
    const std::set<fetch_exchange*> pending = m_pool->fetches;
    for (fetch_exchange* fetch : pending)
        delete fetch;
    m_pool->close();
}

std::unique_ptr<exchange> http_client::start(
    const endpoint& server, http_request request, exchange_options options, exchange_listener& listener)
{
    return std::make_unique<evhttp_exchange>(m_pool, server, std::move(request), options, listener);
}

void http_client::fetch(const endpoint& server, http_request request, exchange_options options, fetch_callback callback)
{
    auto* fetch = new fetch_exchange(m_pool, std::move(callback));
    fetch->own(start(server, std::move(request), options, *fetch));
}

} // namespace pollen
