#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <functional>
#include <http/connection_budget.h>
#include <http/event_loop.h>
#include <http/http_message.h>
#include <memory>

namespace pollen {

// A request received by an http_server, and its response. Owned by the handler: when the last reference is dropped
// before the response is complete, the connection is closed. After the caller has disconnected, all calls have no
// effect.
class server_request {
public:
    virtual ~server_request() = default;

    virtual const http_request& request() const = 0;

    // IP address of the caller.
    virtual const std::string& callerAddress() const = 0;

    // Sends a complete response.
    virtual void reply(int status, const http_headers& headers, std::string_view body) = 0;

    // Streams a response with chunked transfer coding.
    virtual void startStream(int status, const http_headers& headers) = 0;
    // Streams a response that has neither a length nor chunks, so that only an orderly close of the connection marks
    // its end. If the response is aborted or the process ends before, the connection is reset.
    virtual void startUnframedStream(int status, const http_headers& headers) = 0;
    virtual void sendPart(std::string_view bytes) = 0;
    virtual void endStream() = 0;

    // Closes the connection, so that the caller sees a truncated response.
    virtual void abort() = 0;

    // Bytes of the response that have not been written to the socket yet.
    virtual size_t unsentBytes() const = 0;

    // Called when the caller disconnects or stops reading before the response is complete; nothing can be sent
    // afterwards.
    virtual void setHangUpCallback(std::function<void()> callback) = 0;

    // Called once, when all bytes passed to sendPart() so far have been written to the socket.
    virtual void callWhenSent(std::function<void()> callback) = 0;
};

struct http_server_limits {
    size_t maximumHeaderBytes = 16U << 10;
    size_t maximumBodyBytes = 4U << 20;
    // Maximum time without progress while a request body arrives or a response is sent, and maximum idle time of a
    // connection between requests.
    duration idleTimeout = std::chrono::seconds(60);
    // Maximum time from the first byte of a request to the end of its headers.
    duration headerTimeout = std::chrono::seconds(60);
    // How long the limits are known to be the newest. A request beyond them that begins or is refused later gets a 503
    // with a Retry-After in place of a 413 or a 431, which would be final.
    time_point newestUntil = time_point::max();

    friend bool operator==(const http_server_limits&, const http_server_limits&) = default;
};

// HTTP/1.1 server over bufferevents, with Boost.Beast's parser. Detects callers that disconnect while their response is
// pending. Pipelined requests of a connection are processed one at a time.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<server_request>)>;

    // Binds and listens; throws system_error on failure. Port 0 selects any free port. budget: the limits over all
    // connections, shared by the servers of a process; none if null.
    http_server(event_loop& loop, const endpoint& listenAddress, const http_server_limits& limits, handler handler,
        std::shared_ptr<connection_budget> budget = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // The bound address, with the actual port.
    const endpoint& address() const;

    // Applies to requests that begin after the call.
    void setLimits(const http_server_limits& limits);

    // Closes the listening socket. Open connections stay open.
    void stopAccepting();

    // When set, responses carry "Connection: close" and their connections are closed afterwards.
    void setClosing(bool closing);

    // Closes the connections that have no request in progress.
    void closeIdleConnections();

    // Requests received whose response is not complete.
    size_t openRequests() const;

    size_t openConnections() const;

private:
    class connection;
    class connection_request;
    struct details;

    // Stops accepting until the next turn of the event loop once enough connections have been accepted in this one.
    static void limitAcceptsInTurn(const std::shared_ptr<details>& server);

    std::shared_ptr<details> m_details;
};

} // namespace pollen
