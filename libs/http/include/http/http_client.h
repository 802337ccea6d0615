#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <functional>
#include <http/event_loop.h>
#include <http/http_message.h>
#include <memory>
#include <optional>

namespace pollen {

// Reason why an exchange ended without a complete response.
enum class exchange_failure {
    None,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    MalformedResponse,
    ResponseTooLarge,
};

const char* toText(exchange_failure failure);

// Outcome of an exchange.
struct exchange_result {
    exchange_failure failure = exchange_failure::None;
    // False only when no byte of the request was written to the socket, so that the server cannot have processed it.
    bool requestSent = false;
    // True once the status line and headers have been read.
    bool responseStarted = false;
    // The server refused, reset or closed the connection, as opposed to not answering in time.
    bool refused = false;
    // The response had neither a length nor chunks and ended with its connection, so that it may be incomplete.
    bool endedWithConnection = false;
    // The request had been written to an earlier connection, which broke. What became of it there is not known,
    // whatever the response says.
    bool repeated = false;
    // Nothing accepts connections at the server's address, as opposed to a connection that broke before it was used.
    bool connectionRefused = false;

    bool ok() const { return failure == exchange_failure::None; }

    friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

// Receives the parts of one response, in order. onFinished() is the last call and made exactly once, unless the
// exchange is cancelled: then no further call is made.
class exchange_listener {
public:
    virtual ~exchange_listener() = default;
    virtual void onHead(int status, const http_headers& headers) = 0;
    virtual void onData(std::string_view bytes) = 0;
    virtual void onFinished(const exchange_result& result) = 0;
};

struct exchange_options {
    // From the start of the exchange to the last byte of the response.
    duration timeout = std::chrono::seconds(30);
    duration connectTimeout = std::chrono::seconds(1);
    // Do not reuse a pooled connection. For requests that must not be repeated: the server may close an idle
    // connection just before the request is written, and it is then unknown whether the request was processed.
    bool freshConnection = false;
    // Pooled connections that have been idle for longer are not reused.
    duration maximumIdleTime = std::chrono::hours(1);
    // A response whose value of this header differs from echoValue belongs to another request and is skipped. When
    // echoHeader is empty, responses are not checked.
    std::string echoHeader {};
    std::string echoValue {};
    // The request may safely reach the server twice. If the server has closed the pooled connection, the request is
    // retried on a new one.
    bool repeatable = false;
    size_t maximumBodyBytes = 64U << 20;
};

// Handle of a request in flight. Destroying it cancels the exchange and closes the connection.
class exchange {
public:
    virtual ~exchange() = default;

    // Pause and resume reading from the socket, to apply backpressure to the server.
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;

    // The response has neither a length nor chunks, so that only an orderly close of the connection marks its end.
    // Known from onHead() on.
    virtual bool endsWithConnection() const = 0;

    // Closes the connection at the end of the exchange instead of returning it to the pool, for a server whose
    // further responses on it cannot be trusted.
    virtual void closeWhenFinished() = 0;
};

// HTTP/1.1 client over bufferevents, with Boost.Beast's parser and a pool of keep-alive connections per endpoint. The
// Host header defaults to the endpoint.
class http_client {
public:
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Starts an exchange. The listener must outlive the returned handle and is never called from within start().
    std::unique_ptr<exchange> start(
        const endpoint& server, http_request request, exchange_options options, exchange_listener& listener);

    // Starts an exchange, buffers the whole response, of 8 MiB at most, and passes both to the callback. After a
    // failure the response is incomplete.
    using fetch_callback = std::function<void(const exchange_result&, const http_response&)>;
    void fetch(const endpoint& server, http_request request, exchange_options options, fetch_callback callback);

    // Closes the idle connections to an endpoint, for example after its server has gone down.
    void closeIdleConnections(const endpoint& server);

private:
    struct pool;
    class pooled_exchange;
    class fetch_exchange;
    std::shared_ptr<pool> m_pool;
};

} // namespace pollen
