#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <functional>
#include <http/event_loop.h>
#include <http/http_message.h>
#include <memory>
#include <optional>

namespace pollen {

// Why an exchange ended without a complete response.
enum class exchange_failure {
    None,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    MalformedResponse,
    ResponseTooLarge,
};

const char* toText(exchange_failure failure);

// How an exchange ended.
struct exchange_result {
    exchange_failure failure = exchange_failure::None;
    // False only when no byte of the request can have reached the server, so that it certainly did not run.
    bool requestSent = false;
    // True once the status line and headers have been read.
    bool responseStarted = false;
    // The connection could not be used because the server refused it or closed it, not because it stayed silent.
    bool refused = false;

    bool ok() const { return failure == exchange_failure::None; }

    friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

// Receives the parts of one response, in order. onFinished is called exactly once, last, unless the exchange is
// cancelled, after which nothing is called.
class exchange_listener {
public:
    virtual ~exchange_listener() = default;
    virtual void onHead(int status, const http_headers& headers) = 0;
    virtual void onData(std::string_view bytes) = 0;
    virtual void onFinished(const exchange_result& result) = 0;
};

struct exchange_options {
    // From the start to the last byte of the response.
    duration timeout = std::chrono::seconds(30);
    duration connectTimeout = std::chrono::seconds(1);
    // Use a connection that has carried nothing before. Set for calls that must not be repeated: a connection kept
    // open may have been closed by the server in the moment before the request is written.
    bool freshConnection = false;
    // A kept connection that has been idle for longer is not used.
    duration maximumIdleTime = std::chrono::hours(1);
    // A response in which this header has another value answers another request, and is skipped; empty: not checked.
    std::string echoHeader {};
    std::string echoValue {};
    // The request may reach the server twice. It is then sent again on a fresh connection when a kept connection turns
    // out to have been closed.
    bool repeatable = false;
    size_t maximumBodyBytes = 64U << 20;
};

// One request on its way. Destroying it cancels the exchange; cancelling closes the connection.
class exchange {
public:
    virtual ~exchange() = default;

    // Stops and restarts reading from the server, to hold back a response that the reader cannot take yet.
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;

    // Closes the connection when the exchange ends, for a server whose answers cannot be trusted on it.
    virtual void closeWhenFinished() = 0;
};

// HTTP/1.1 client over bufferevents with Boost.Beast's parser and kept connections, one pool for each endpoint. The
// Host header is the endpoint unless the request has one.
class http_client {
public:
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Starts an exchange. The listener must outlive the returned handle; it is never called from inside start().
    std::unique_ptr<exchange> start(
        const endpoint& server, http_request request, exchange_options options, exchange_listener& listener);

    // Starts an exchange, collects its whole response and reports both; the body of a failed exchange is partial.
    using fetch_callback = std::function<void(const exchange_result&, const http_response&)>;
    void fetch(const endpoint& server, http_request request, exchange_options options, fetch_callback callback);

    // Closes the idle connections to an endpoint whose server has gone.
    void closeIdleConnections(const endpoint& server);

private:
    struct pool;
    class pooled_exchange;
    class fetch_exchange;
    std::shared_ptr<pool> m_pool;
};

} // namespace pollen
