#include <http/http_client.h>

#include "early_write.h"
#include "header_text.h"
#include "message_parser.h"
#include <algorithm>
#include <base/socket_address.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>

namespace pollen {

namespace {

constexpr size_t maximumIdleConnections = 512;
constexpr size_t maximumHeaderBytes = 64U << 10;
// The parser's own limit for bodies is out of reach: each exchange counts its body against its own limit.
constexpr size_t unlimitedBodyBytes = size_t { 1 } << 40;
constexpr int firstFinalStatus = 200;
// A kept connection is given up this long before the server said that it would close it.
constexpr duration keepAliveMargin = std::chrono::milliseconds(500);

// The time for which the server keeps an idle connection, by its Keep-Alive header; none without one.
std::optional<duration> keptOpenFor(const http_headers& headers)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view value = findHeader(headers, "Keep-Alive");
    const size_t start = value.find(name);
    if (start == std::string_view::npos)
        return std::nullopt;
    return std::chrono::seconds(std::atoi(std::string(value.substr(start + name.size())).c_str()));
}

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

// What a connection tells the exchange that it carries.
class connection_events {
public:
    virtual ~connection_events() = default;
    virtual void onHead(int status, const http_headers& headers) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onComplete() = 0;
    virtual void onBroken(exchange_failure failure, bool refused) = 0;
};

// One connection to a server. It carries one exchange at a time and closes itself when anything arrives between two.
class http_client::connection final : public std::enable_shared_from_this<connection>, private message_events {
public:
    connection(event_loop& loop, const endpoint& server)
        : m_loop(loop)
        , m_server(server)
        , m_events(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        const auto onRead = [](bufferevent*, void* self) { static_cast<connection*>(self)->process(); };
        const auto onEvent
            = [](bufferevent*, short what, void* self) { static_cast<connection*>(self)->onEvent(what); };
        bufferevent_setcb(m_events, onRead, nullptr, onEvent, this);
        const auto onOutput = [](evbuffer*, const evbuffer_cb_info* info, void* self) {
            static_cast<connection*>(self)->m_bytesSent += info->n_deleted;
        };
        evbuffer_add_cb(bufferevent_get_output(m_events), onOutput, this);
        bufferevent_enable(m_events, EV_READ | EV_WRITE);
        socket_address address = toSocketAddress(server);
        m_connectFailed = bufferevent_socket_connect(m_events, address.get(), static_cast<int>(address.length)) != 0;
    }
    ~connection() override
    {
        if (m_events)
            bufferevent_free(m_events);
    }

    const endpoint& server() const { return m_server; }
    bool connectFailed() const { return m_connectFailed; }
    bool usedBefore() const { return m_usedBefore; }
    bool closed() const { return m_closed; }
    size_t bytesSent() const { return m_bytesSent; }
    std::optional<duration> keptOpenFor() const { return m_keptOpenFor; }
    event_loop& loop() { return m_loop; }

    void send(connection_events& events, const http_request& request, const exchange_options& options)
    {
        m_exchange = &events;
        m_bytesSent = 0;
        m_echoHeader = options.echoHeader;
        m_echoValue = options.echoValue;
        m_noBody = request.method == "HEAD";
        startParser();
        writeRequest(bufferevent_get_output(m_events), request, m_server);
        if (m_connected)
            writeEarly(m_events);
    }

    // Lets go of a complete exchange. False when the connection cannot carry another one and has been closed.
    bool release()
    {
        m_exchange = nullptr;
        const bool clean = !m_closed && m_reusable && evbuffer_get_length(bufferevent_get_input(m_events)) == 0
            && evbuffer_get_length(bufferevent_get_output(m_events)) == 0;
        if (!clean) {
            close();
            return false;
        }
        bufferevent_enable(m_events, EV_READ);
        m_usedBefore = true;
        m_parser.reset();
        return true;
    }

    // Closes the socket from the loop, outside the callbacks of its bufferevent.
    void close()
    {
        m_exchange = nullptr;
        if (m_closed)
            return;
        m_closed = true;
        if (m_parser)
            m_parser->stop();
        bufferevent_setcb(m_events, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(m_events, EV_READ | EV_WRITE);
        m_loop.post([self = shared_from_this()] { bufferevent_free(std::exchange(self->m_events, nullptr)); });
    }

    void pauseReading()
    {
        if (!m_closed)
            bufferevent_disable(m_events, EV_READ);
    }
    void resumeReading()
    {
        if (!m_closed)
            bufferevent_enable(m_events, EV_READ);
    }

private:
    void startParser()
    {
        m_skipping = false;
        m_parser.emplace(static_cast<message_events&>(*this), maximumHeaderBytes, unlimitedBodyBytes);
        if (m_noBody)
            m_parser->expectNoBody();
    }

    void onEvent(short what)
    {
        const auto self = shared_from_this();
        if (what & BEV_EVENT_CONNECTED) {
            m_connected = true;
            const int enabled = 1;
            setsockopt(bufferevent_getfd(m_events), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            return;
        }
        if (what & BEV_EVENT_EOF) {
            process();
            // A response without a length ends here, but not where the connection was reset.
            const bool complete = m_exchange && !m_closed && m_parser && m_parser->started()
                && m_parser->feedEnd() == parse_state::Complete;
            if (complete && !m_skipping) {
                m_reusable = false;
                m_exchange->onComplete();
                return;
            }
        }
        fail(m_connected ? exchange_failure::ConnectionLost : exchange_failure::ConnectFailed, true);
    }

    void fail(exchange_failure failure, bool refused)
    {
        connection_events* exchange = m_exchange;
        if (m_closed)
            return;
        close();
        if (exchange)
            exchange->onBroken(failure, refused);
    }

    void process()
    {
        const auto self = shared_from_this();
        evbuffer* input = bufferevent_get_input(m_events);
        while (!m_closed && evbuffer_get_length(input) > 0) {
            if (!m_exchange || !m_parser) {
                // Bytes that belong to no request.
                close();
                return;
            }
            const parse_state state = m_parser->feed(input);
            if (m_closed || state == parse_state::NeedsMore)
                return;
            if (state != parse_state::Complete) {
                fail(exchange_failure::MalformedResponse, false);
                return;
            }
            if (m_skipping || m_parser->status() < firstFinalStatus) {
                startParser();
                continue;
            }
            m_reusable = m_parser->keepAlive() && !m_everSkipped;
            m_exchange->onComplete();
            return;
        }
    }

    void onMessageHead() override
    {
        if (m_parser->status() < firstFinalStatus)
            return;
        const http_headers& headers = m_parser->headers();
        const std::string_view echo = m_echoHeader.empty() ? std::string_view {} : findHeader(headers, m_echoHeader);
        if (!echo.empty() && echo != m_echoValue) {
            m_skipping = true;
            m_everSkipped = true;
            return;
        }
        m_keptOpenFor = pollen::keptOpenFor(headers);
        if (m_exchange)
            m_exchange->onHead(m_parser->status(), headers);
    }

    void onMessageBody(std::string_view bytes) override
    {
        if (!m_skipping && m_exchange)
            m_exchange->onBody(bytes);
    }

    event_loop& m_loop;
    endpoint m_server;
    bufferevent* m_events;
    connection_events* m_exchange = nullptr;
    std::optional<response_parser> m_parser;
    std::optional<duration> m_keptOpenFor;
    std::string m_echoHeader;
    std::string m_echoValue;
    size_t m_bytesSent = 0;
    bool m_noBody = false;
    bool m_connectFailed = false;
    bool m_connected = false;
    bool m_usedBefore = false;
    bool m_reusable = false;
    bool m_closed = false;
    // The response being read answers another request.
    bool m_skipping = false;
    bool m_everSkipped = false;
};

// Kept connections by endpoint.
struct http_client::pool {
    explicit pool(event_loop& eventLoop)
        : loop(eventLoop)
    {
    }

    struct idle_connection {
        std::shared_ptr<connection> handle;
        time_point since;
        time_point until;
    };

    std::shared_ptr<connection> open(const endpoint& server) { return std::make_shared<connection>(loop, server); }

    std::shared_ptr<connection> take(const endpoint& server, duration maximumIdle)
    {
        const time_point now = time.now();
        auto& idle = idleByEndpoint[server];
        while (!idle.empty()) {
            const idle_connection last = idle.back();
            idle.pop_back();
            if (last.handle->closed())
                continue;
            if (now < last.until && now - last.since <= maximumIdle)
                return last.handle;
            last.handle->close();
        }
        return open(server);
    }

    void put(const std::shared_ptr<connection>& connection)
    {
        auto& idle = idleByEndpoint[connection->server()];
        if (closed || idle.size() >= maximumIdleConnections) {
            connection->close();
            return;
        }
        const time_point now = time.now();
        std::erase_if(idle, [](const idle_connection& entry) { return entry.handle->closed(); });
        const std::optional<duration> keep = connection->keptOpenFor();
        idle.push_back({ connection, now, keep ? now + *keep - keepAliveMargin : time_point::max() });
    }

    void forget(const endpoint& server)
    {
        const auto found = idleByEndpoint.find(server);
        if (found == idleByEndpoint.end())
            return;
        for (const idle_connection& entry : found->second)
            entry.handle->close();
        idleByEndpoint.erase(found);
    }

    void close()
    {
        closed = true;
        while (!idleByEndpoint.empty())
            forget(endpoint(idleByEndpoint.begin()->first));
    }

    event_loop& loop;
    os_clock time;
    bool closed = false;
    std::map<endpoint, std::vector<idle_connection>> idleByEndpoint;
    std::set<fetch_exchange*> fetches;
};

class http_client::pooled_exchange final : public exchange, private connection_events {
public:
    pooled_exchange(std::shared_ptr<pool> pool, const endpoint& server, http_request request, exchange_options options,
        exchange_listener& listener)
        : m_pool(std::move(pool))
        , m_server(server)
        , m_request(std::move(request))
        , m_options(std::move(options))
        , m_listener(listener)
        , m_deadline(m_pool->loop, [this] { onTimer(); })
        , m_alive(std::make_shared<bool>(true))
    {
        m_connection = m_options.freshConnection ? m_pool->open(server) : m_pool->take(server, m_options.maximumIdle);
        send();
        m_deadline.startOnce(std::min(m_options.timeout, m_options.connectTimeout));
    }

    ~pooled_exchange() override
    {
        *m_alive = false;
        if (m_connection)
            m_connection->close();
    }

    void pauseReading() override
    {
        if (m_connection)
            m_connection->pauseReading();
    }

    void resumeReading() override
    {
        if (m_connection)
            m_connection->resumeReading();
    }

    void closeAfterwards() override { m_closeAfterwards = true; }

private:
    void send()
    {
        if (m_connection->connectFailed()) {
            finishLater(exchange_failure::ConnectFailed);
            return;
        }
        m_connection->send(*this, m_request, m_options);
    }

    void onTimer()
    {
        if (m_connection->bytesSent() == 0) {
            finish(exchange_failure::ConnectFailed);
            return;
        }
        const duration rest = m_options.timeout - m_options.connectTimeout;
        if (m_connectTimePassed || rest.count() <= 0) {
            finish(exchange_failure::TimedOut);
            return;
        }
        m_connectTimePassed = true;
        m_deadline.startOnce(rest);
    }

    void onHead(int status, const http_headers& headers) override
    {
        m_responseStarted = true;
        m_listener.onHead(status, headers);
    }

    void onBody(std::string_view bytes) override
    {
        if (m_finished)
            return;
        m_bodyBytes += bytes.size();
        if (m_bodyBytes > m_options.maximumBodyBytes) {
            m_finished = true;
            finishLater(exchange_failure::ResponseTooLarge);
            return;
        }
        m_listener.onData(bytes);
    }

    void onComplete() override
    {
        if (!m_finished)
            finish(exchange_failure::None);
    }

    void onBroken(exchange_failure failure, bool refused) override
    {
        m_refused = refused;
        const bool sent = m_connection->bytesSent() > 0;
        if (failure == exchange_failure::ConnectionLost && !sent)
            failure = exchange_failure::ConnectFailed;
        const bool again = failure == exchange_failure::ConnectionLost && m_options.repeatable
            && m_connection->usedBefore() && !m_responseStarted;
        if (again) {
            m_connection = m_pool->open(m_server);
            send();
            return;
        }
        finish(failure);
    }

    void finishLater(exchange_failure failure)
    {
        m_pool->loop.post([this, failure, alive = m_alive] {
            if (!*alive)
                return;
            m_finished = false;
            finish(failure);
        });
    }

    void finish(exchange_failure failure)
    {
        m_finished = true;
        m_deadline.stop();
        const exchange_result result { failure, m_connection->bytesSent() > 0, m_responseStarted, m_refused };
        const auto connection = std::exchange(m_connection, nullptr);
        if (failure != exchange_failure::None || m_closeAfterwards)
            connection->close();
        else if (connection->release())
            m_pool->put(connection);
        m_listener.onFinished(result);
    }

    std::shared_ptr<pool> m_pool;
    endpoint m_server;
    http_request m_request;
    exchange_options m_options;
    exchange_listener& m_listener;
    timer m_deadline;
    std::shared_ptr<bool> m_alive;
    std::shared_ptr<connection> m_connection;
    size_t m_bodyBytes = 0;
    bool m_connectTimePassed = false;
    bool m_closeAfterwards = false;
    bool m_responseStarted = false;
    bool m_refused = false;
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
    return std::make_unique<pooled_exchange>(m_pool, server, std::move(request), std::move(options), listener);
}

void http_client::fetch(const endpoint& server, http_request request, exchange_options options, fetch_callback callback)
{
    auto* fetch = new fetch_exchange(m_pool, std::move(callback));
    fetch->own(start(server, std::move(request), std::move(options), *fetch));
}

void http_client::forget(const endpoint& server) { m_pool->forget(server); }

} // namespace pollen
