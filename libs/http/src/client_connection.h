#pragma once

#include "message_parser.h"

#include <http/http_client.h>

struct bufferevent;

namespace pollen {

// Callbacks from a connection to the exchange that uses it.
class connection_listener {
public:
    virtual ~connection_listener() = default;
    virtual void onHead(int status, const http_headers& headers) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    // endedWithConnection: the response had no length, and its end is an orderly close.
    virtual void onComplete(bool endedWithConnection) = 0;
    virtual void onFailed(exchange_failure failure, bool refused) = 0;
};

// One connection to a server. Carries one exchange at a time and closes itself when data arrives between exchanges.
class client_connection final : public std::enable_shared_from_this<client_connection>, private message_listener {
public:
    client_connection(event_loop& loop, const endpoint& server);
    ~client_connection() override;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    const endpoint& server() const { return m_server; }
    bool connectFailed() const { return m_connectFailed; }
    bool hasCarriedExchange() const { return m_hasCarriedExchange; }
    bool closed() const { return m_closed; }
    // Whether an earlier exchange had this value of the echo header: a repeated response to it could not be told from
    // the next one. Rarely true of a value that none had.
    bool hasCarried(const std::string& echoValue) const;
    // Bytes of the current exchange that have been written to the socket.
    size_t bytesSent() const { return m_bytesSent; }
    // How long the server keeps the connection open while idle; empty when the server has not announced it.
    std::optional<duration> keepAliveTimeout() const { return m_keepAliveTimeout; }

    void send(connection_listener& listener, const http_request& request, const exchange_options& options);

    // Detaches from a completed exchange. Returns false if the connection is not reusable; it is then closed.
    bool release();

    // The bufferevent is freed later from the event loop, because this may run inside one of its callbacks.
    void close();
    // Closes with a reset. A server may go on with a request after an orderly close, which can be half a one.
    void abort();

    void pauseReading();
    void resumeReading();

    // The response that is being read ends with the connection. Known once its head is complete.
    bool responseEndsWithConnection() const { return m_parser && m_parser->endsWithConnection(); }

private:
    void startParser();
    void onEvent(short what);
    // Whether the server's orderly close completes the response that is being read.
    bool isCompleteAtClose();
    void fail(exchange_failure failure, bool refused);
    void process();
    // Fails the exchange and returns false once more than maximumSkippedResponses precede the response.
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
    // Hashes of the echo values of earlier exchanges.
    std::vector<size_t> m_carriedDigests;
    size_t m_bytesSent = 0;
    bool m_noBody = false;
    bool m_connectFailed = false;
    bool m_connected = false;
    bool m_hasCarriedExchange = false;
    // The response that is being read began while part of the request was still unwritten. Without a length or chunks
    // nothing says whether it is whole: the server may close because it gives the request up.
    bool m_beganBeforeRequestWasWritten = false;
    bool m_reusable = false;
    bool m_closed = false;
    // The response that is being read belongs to another request.
    bool m_skipping = false;
    bool m_hasSkippedResponse = false;
    // Responses skipped in the current exchange, and the bytes of their bodies.
    size_t m_skippedResponses = 0;
    size_t m_skippedBytes = 0;
};

} // namespace pollen
