#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <http/http_message.h>
#include <memory>
#include <optional>

struct evbuffer;

namespace pollen {

// Receives the parts of a message while it is parsed; onMessageHead() once the headers are complete.
class message_listener {
public:
    virtual ~message_listener() = default;
    virtual void onMessageHead() = 0;
    virtual void onMessageBody(std::string_view bytes) = 0;
};

enum class parse_state {
    NeedsMore,
    Complete,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    FramingTooLarge,
};

// Limit for the framing of a chunked body: the line before one chunk, and all trailers together. Neither is part of the
// head or of the body, so that no other limit covers them. A connection holds no more than this unparsed once the head
// is complete, which also bounds the bytes that are searched again when more arrive.
constexpr size_t maximumFramingBytes = 8U << 10;

// Incremental parser for one HTTP/1.1 message, based on Boost.Beast. Rejects messages with ambiguous framing (two
// lengths, both a length and chunks, a transfer coding other than chunked), which would allow request smuggling.
template <bool IsRequest> class message_parser final : private boost::beast::http::basic_parser<IsRequest> {
public:
    message_parser(message_listener& listener, size_t maximumHeaderBytes, size_t maximumBodyBytes);

    // The response answers a HEAD request and has no body.
    void expectNoBody() { this->skip(true); }

    // Consumes bytes from the buffer until the message is complete or more bytes are needed.
    parse_state feed(evbuffer* input);

    // Signals an orderly close by the sender, which completes a response without a length.
    parse_state feedEof();

    // Stops parsing from inside a callback.
    void stop() { m_stopped = true; }

    bool started() const { return this->got_some(); }
    bool headComplete() const { return this->is_header_done(); }
    // Announced length of the body, or none. Known once the head is complete.
    std::optional<uint64_t> announcedLength() const
    {
        const auto length = this->content_length();
        return length ? std::optional<uint64_t>(*length) : std::nullopt;
    }
    bool keepAlive() const { return this->keep_alive(); }
    // The message has neither a length nor chunks and ends with its connection. Known once the head is complete.
    bool endsWithConnection() const { return this->need_eof(); }
    int status() const { return m_status; }
    const std::string& method() const { return m_method; }
    const std::string& target() const { return m_target; }
    http_headers& headers() { return m_headers; }
    // Bytes that the head takes so far. Fields are kept as they arrive, and short ones take many times their length.
    size_t headMemory() const { return m_headers.capacity() * sizeof(http_headers::value_type) + m_headBytes; }

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
    // Whether the line of a chunk, or the trailers, have grown beyond the limit before they are complete.
    bool framingTooLarge(size_t unparsedBytes) const;

    message_listener& m_listener;
    int m_status = 0;
    std::string m_method;
    std::string m_target;
    http_headers m_headers;
    size_t m_headBytes = 0;
    bool m_headComplete = false;
    size_t m_trailerBytes = 0;
    bool m_stopped = false;
};

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

} // namespace pollen
