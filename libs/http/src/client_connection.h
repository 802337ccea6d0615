#pragma once

#include "message_parser.h"

#include <http/http_client.h>

struct bufferevent;

namespace pollen {

// What a connection tells the exchange that it carries.
class connection_listener {
public:
    virtual ~connection_listener() = default;
    virtual void onHead(int status, const http_headers& headers) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onComplete() = 0;
    virtual void onFailed(exchange_failure failure, bool refused) = 0;
};

// One connection to a server. It carries one exchange at a time and closes itself when anything arrives between two.
class client_connection final : public std::enable_shared_from_this<client_connection>, private message_listener {
public:
    client_connection(event_loop& loop, const endpoint& server);
    ~client_connection() override;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    const endpoint& server() const { return m_server; }
    bool connectFailed() const { return m_connectFailed; }
    // It has carried an exchange before.
    bool hasCarriedExchange() const { return m_hasCarriedExchange; }
    bool closed() const { return m_closed; }
    // Bytes of the running exchange that the operating system has taken.
    size_t bytesSent() const { return m_bytesSent; }
    // How long the server keeps it open while it is idle; none when it has not said so.
    std::optional<duration> keepAliveTimeout() const { return m_keepAliveTimeout; }

    void send(connection_listener& listener, const http_request& request, const exchange_options& options);

    // Lets go of a complete exchange. False when the connection cannot carry another one and has been closed.
    bool release();

    // Closes the socket from the loop, outside the callbacks of its bufferevent.
    void close();

    void pauseReading();
    void resumeReading();

private:
    void startParser();
    void onEvent(short what);
    void fail(exchange_failure failure, bool refused);
    void process();
    // False when more came before the response than is worth reading.
    bool countSkippedResponse();
    void onMessageHead() override;
    void onMessageBody(std::string_view bytes) override;

    event_loop& m_loop;
    endpoint m_server;
    bufferevent* m_bufferEvent;
    connection_listener* m_exchange = nullptr;
    std::optional<response_parser> m_parser;
    std::optional<duration> m_keepAliveTimeout;
    std::string m_echoHeader;
    std::string m_echoValue;
    size_t m_bytesSent = 0;
    bool m_noBody = false;
    bool m_connectFailed = false;
    bool m_connected = false;
    bool m_hasCarriedExchange = false;
    bool m_reusable = false;
    bool m_closed = false;
    // The response being read answers another request.
    bool m_skipping = false;
    bool m_hasSkippedResponse = false;
    // Responses before the one that answers the running exchange, and the bytes of their bodies.
    size_t m_skippedResponses = 0;
    size_t m_skippedBytes = 0;
};

} // namespace pollen
