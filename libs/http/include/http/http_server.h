#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <functional>
#include <http/event_loop.h>
#include <http/http_message.h>
#include <memory>

namespace pollen {

// One request received by an http_server, and its response. Shared by the server and the handler; all calls are
// harmless once the caller has gone.
class server_request {
public:
    virtual ~server_request() = default;

    virtual const http_request& request() const = 0;

    // IP number of the caller.
    virtual const std::string& callerAddress() const = 0;

    // Sends a whole response.
    virtual void reply(int status, const http_headers& headers, std::string_view body) = 0;

    // Sends a response in parts, with chunked transfer coding.
    virtual void startStream(int status, const http_headers& headers) = 0;
    virtual void sendPart(std::string_view bytes) = 0;
    virtual void endStream() = 0;

    // Closes the connection, so that the caller sees a stream that has not ended properly.
    virtual void abort() = 0;

    // Bytes accepted by sendPart() that the operating system has not taken yet.
    virtual size_t unsentBytes() const = 0;

    // Called when the caller closes its side before the response is complete; afterwards nothing can be sent.
    virtual void setHangUpCallback(std::function<void()> callback) = 0;

    // Called once, when all bytes given to sendPart() so far have been taken by the operating system.
    virtual void callWhenSent(std::function<void()> callback) = 0;
};

struct http_server_limits {
    size_t maximumHeaderBytes = 16U << 10;
    size_t maximumBodyBytes = 4U << 20;
    // Time within which a caller must deliver its request, and the longest pause it may make in taking a response.
    duration idleTimeout = std::chrono::seconds(60);
    // Time from the first byte of a request to the end of its head.
    duration headerTimeout = std::chrono::seconds(60);

    friend bool operator==(const http_server_limits&, const http_server_limits&) = default;
};

// HTTP/1.1 server over bufferevents with Boost.Beast's parser. It notices callers that hang up while their response
// is pending, and answers one request of a connection after the other.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<server_request>)>;

    // Binds at once; throws system_error when the address cannot be used. Port 0 takes any free port.
    http_server(event_loop& loop, const endpoint& listenAddress, const http_server_limits& limits, handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // The address in use, with the port that was taken.
    const endpoint& address() const;

    // In force for requests that begin afterwards.
    void setLimits(const http_server_limits& limits);

    // Closes the listening socket. Open connections go on.
    void stopAccepting();

    // When set, each response asks the caller to close the connection.
    void setClosing(bool closing);

    // Closes the connections that are between two requests.
    void closeIdleConnections();

    // Requests received and not answered completely.
    size_t openRequests() const;

    size_t openConnections() const;

private:
    class connection;
    class connection_request;
    struct details;
    std::shared_ptr<details> m_details;
};

} // namespace pollen
