#include <http/http_client.h>

#include "client_connection.h"
#include <algorithm>
#include <map>
#include <set>

namespace pollen {

namespace {

constexpr size_t maximumIdleConnections = 512;
// Limit for a response that is buffered as a whole: the longest page of the store and its encoding fit.
constexpr size_t maximumFetchedBytes = 8U << 20;
// Idle connections are retired this long before the server's announced time-out, so that no request is sent on a
// connection that the server is closing.
constexpr duration keepAliveMargin = std::chrono::milliseconds(500);

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

// Idle connections by endpoint, shared with the running exchanges.
struct http_client::pool {
    explicit pool(event_loop& eventLoop)
        : loop(eventLoop)
    {
    }

    struct idle_connection {
        std::shared_ptr<client_connection> handle;
        time_point idleSince;
        time_point usableUntil;
    };

    std::shared_ptr<client_connection> open(const endpoint& server)
    {
        return std::make_shared<client_connection>(loop, server);
    }

    std::shared_ptr<client_connection> take(
        const endpoint& server, duration maximumIdleTime, const std::string& echoValue)
    {
        const time_point now = clock.now();
        auto& idle = idleByEndpoint[server];
        while (!idle.empty()) {
            const idle_connection candidate = idle.back();
            idle.pop_back();
            if (candidate.handle->closed())
                continue;
            if (!candidate.handle->hasCarried(echoValue) && now < candidate.usableUntil
                && now - candidate.idleSince <= maximumIdleTime)
                return candidate.handle;
            candidate.handle->close();
        }
        return open(server);
    }

    void put(const std::shared_ptr<client_connection>& connection)
    {
        auto& idle = idleByEndpoint[connection->server()];
        if (closed || idle.size() >= maximumIdleConnections) {
            connection->close();
            return;
        }
        const time_point now = clock.now();
        std::erase_if(idle, [](const idle_connection& entry) { return entry.handle->closed(); });
        const std::optional<duration> keepAlive = connection->keepAliveTimeout();
        idle.push_back({ connection, now, keepAlive ? now + *keepAlive - keepAliveMargin : time_point::max() });
    }

    void closeIdleConnections(const endpoint& server)
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
            closeIdleConnections(endpoint(idleByEndpoint.begin()->first));
    }

    event_loop& loop;
    os_clock clock;
    bool closed = false;
    std::map<endpoint, std::vector<idle_connection>> idleByEndpoint;
    std::set<fetch_exchange*> fetches;
};

class http_client::pooled_exchange final : public exchange, private connection_listener {
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
        m_connection = m_options.freshConnection ? m_pool->open(server)
                                                 : m_pool->take(server, m_options.maximumIdleTime, m_options.echoValue);
        send();
        m_deadline.startOnce(std::min(m_options.timeout, m_options.connectTimeout));
    }

    ~pooled_exchange() override
    {
        *m_alive = false;
        if (m_connection)
            m_connection->abort();
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

    bool endsWithConnection() const override { return m_connection && m_connection->responseEndsWithConnection(); }

    void closeWhenFinished() override { m_closeWhenFinished = true; }

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
        // The result is on its way.
        if (m_finished)
            return;
        if (m_connection->bytesSent() == 0) {
            finish(exchange_failure::ConnectFailed);
            return;
        }
        const duration remaining = m_options.timeout - m_options.connectTimeout;
        if (m_connectTimeoutPassed || remaining.count() <= 0) {
            finish(exchange_failure::TimedOut);
            return;
        }
        m_connectTimeoutPassed = true;
        m_deadline.startOnce(remaining);
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
            finishLater(exchange_failure::ResponseTooLarge);
            return;
        }
        m_listener.onData(bytes);
    }

    void onComplete(bool endedWithConnection) override
    {
        m_endedWithConnection = endedWithConnection;
        if (!m_finished)
            finish(exchange_failure::None);
    }

    void onFailed(exchange_failure failure, bool refused) override
    {
        // An oversized response has already failed the exchange.
        if (m_finished)
            return;
        m_refused = refused;
        const bool retry = failure == exchange_failure::ConnectionLost && m_options.repeatable
            && m_connection->bytesSent() > 0 && m_connection->hasCarriedExchange() && !m_responseStarted;
        if (retry) {
            m_sentEarlier = true;
            m_connection = m_pool->open(m_server);
            send();
            return;
        }
        finish(failure);
    }

    void finishLater(exchange_failure failure)
    {
        m_finished = true;
        m_pool->loop.post([this, failure, alive = m_alive] {
            if (*alive)
                finish(failure);
        });
    }

    // A connection that breaks has failed to connect, for the request, only if no byte of it was ever written.
    static exchange_failure asSeenByRequest(exchange_failure failure, bool sent)
    {
        if (failure != exchange_failure::ConnectFailed && failure != exchange_failure::ConnectionLost)
            return failure;
        return sent ? exchange_failure::ConnectionLost : exchange_failure::ConnectFailed;
    }

    void finish(exchange_failure failure)
    {
        m_finished = true;
        m_deadline.stop();
        const bool sent = m_sentEarlier || m_connection->bytesSent() > 0;
        const exchange_result result { asSeenByRequest(failure, sent), sent, m_responseStarted, m_refused,
            m_endedWithConnection, m_sentEarlier, failure == exchange_failure::ConnectFailed && m_refused };
        const auto connection = std::exchange(m_connection, nullptr);
        if (failure != exchange_failure::None)
            connection->abort();
        else if (m_closeWhenFinished)
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
    std::shared_ptr<client_connection> m_connection;
    size_t m_bodyBytes = 0;
    // Bytes of the request were written to an earlier connection.
    bool m_sentEarlier = false;
    bool m_connectTimeoutPassed = false;
    bool m_closeWhenFinished = false;
    bool m_responseStarted = false;
    bool m_refused = false;
    bool m_endedWithConnection = false;
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

    void setExchange(std::unique_ptr<exchange> exchange) { m_exchange = std::move(exchange); }

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
    options.maximumBodyBytes = std::min(options.maximumBodyBytes, maximumFetchedBytes);
    auto* fetch = new fetch_exchange(m_pool, std::move(callback));
    fetch->setExchange(start(server, std::move(request), std::move(options), *fetch));
}

void http_client::closeIdleConnections(const endpoint& server) { m_pool->closeIdleConnections(server); }

} // namespace pollen
