#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <http/http_message.h>
#include <memory>

struct evbuffer;

namespace pollen {

// Receives the parts of one message while it is parsed.
class message_listener {
public:
    virtual ~message_listener() = default;
    // The head is complete.
    virtual void onMessageHead() = 0;
    virtual void onMessageBody(std::string_view bytes) = 0;
};

enum class parse_state {
    NeedsMore,
    Complete,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

// One HTTP/1.1 message, parsed by Boost.Beast as its bytes arrive. Requests and responses with more than one reading
// (two lengths, a length and chunks, another transfer coding than chunked) are malformed.
template <bool IsRequest> class message_parser final : private boost::beast::http::basic_parser<IsRequest> {
public:
    message_parser(message_listener& listener, size_t maximumHeaderBytes, size_t maximumBodyBytes);

    // The response answers a HEAD request and has no body.
    void expectNoBody() { this->skip(true); }

    // Takes bytes off the buffer until the message is complete or bytes are missing.
    parse_state feed(evbuffer* input);

    // The sender has closed its side in good order; completes a response without a length.
    parse_state feedEof();

    // Stops parsing from inside a callback.
    void stop() { m_stopped = true; }

    bool started() const { return this->got_some(); }
    bool headComplete() const { return this->is_header_done(); }
    bool keepAlive() const { return this->keep_alive(); }
    int status() const { return m_status; }
    const std::string& method() const { return m_method; }
    const std::string& target() const { return m_target; }
    http_headers& headers() { return m_headers; }

private:
    using base = boost::beast::http::basic_parser<IsRequest>;
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb verb, string_view method, string_view target, int version,
        error_code& problem) override;
    void on_response_impl(int code, string_view reason, int version, error_code& problem) override;
    void on_field_impl(
        boost::beast::http::field field, string_view name, string_view value, error_code& problem) override;
    void on_header_impl(error_code& problem) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& problem) override;
    std::size_t on_body_impl(string_view bytes, error_code& problem) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code& problem) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, string_view bytes, error_code& problem) override;
    void on_finish_impl(error_code& problem) override;

    parse_state toState(const error_code& problem) const;

    message_listener& m_listener;
    int m_status = 0;
    std::string m_method;
    std::string m_target;
    http_headers m_headers;
    bool m_headComplete = false;
    bool m_stopped = false;
};

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

} // namespace pollen
