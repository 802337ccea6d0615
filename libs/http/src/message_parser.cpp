#include "message_parser.h"

#include <event2/buffer.h>
#include <strings.h>

namespace pollen {

namespace http = boost::beast::http;

namespace {

// Beast has no error for framing that is too large. Its parser does not raise this one.
constexpr http::error framingLimit = http::error::buffer_overflow;
// Bytes of a field line beside its name and value.
constexpr size_t fieldLineBytes = 4;
// Classes of status codes (RFC 9110, section 15).
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

bool isChunkedOnly(boost::beast::string_view value)
{
    constexpr std::string_view chunked = "chunked";
    return value.size() == chunked.size() && strncasecmp(value.data(), chunked.data(), chunked.size()) == 0;
}

} // namespace

template <bool IsRequest>
message_parser<IsRequest>::message_parser(
    message_listener& listener, size_t maximumHeaderBytes, size_t maximumBodyBytes)
    : m_listener(listener)
{
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(maximumHeaderBytes));
    this->body_limit(maximumBodyBytes);
}

template <bool IsRequest> parse_state message_parser<IsRequest>::toState(const error_code& problem) const
{
    if (problem == http::error::header_limit)
        return parse_state::HeaderTooLarge;
    if (problem == http::error::body_limit)
        return parse_state::BodyTooLarge;
    if (problem == framingLimit)
        return parse_state::FramingTooLarge;
    return parse_state::Malformed;
}

template <bool IsRequest> bool message_parser<IsRequest>::framingTooLarge(size_t unparsedBytes) const
{
    return m_headComplete && unparsedBytes > maximumFramingBytes;
}

template <bool IsRequest> parse_state message_parser<IsRequest>::feed(evbuffer* input)
{
    while (!this->is_done()) {
        const size_t length = evbuffer_get_length(input);
        if (length == 0)
            return parse_state::NeedsMore;
        const unsigned char* bytes = evbuffer_pullup(input, -1);
        error_code problem;
        const size_t used = this->put(boost::asio::const_buffer(bytes, length), problem);
        evbuffer_drain(input, used);
        if (m_stopped)
            return parse_state::NeedsMore;
        if (problem == http::error::need_more)
            return framingTooLarge(length - used) ? parse_state::FramingTooLarge : parse_state::NeedsMore;
        if (problem)
            return toState(problem);
    }
    return parse_state::Complete;
}

template <bool IsRequest> parse_state message_parser<IsRequest>::feedEof()
{
    if (this->is_done())
        return parse_state::Complete;
    if (!this->got_some())
        return parse_state::Malformed;
    error_code problem;
    this->put_eof(problem);
    return problem ? toState(problem) : parse_state::Complete;
}

template <bool IsRequest>
void message_parser<IsRequest>::on_request_impl(
    http::verb, string_view method, string_view target, int, error_code& problem)
{
    problem = {};
    m_method.assign(method.data(), method.size());
    m_target.assign(target.data(), target.size());
    m_headBytes += target.size();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_response_impl(int code, string_view, int, error_code& problem)
{
    problem = {};
    // Beast accepts every status of three digits.
    if (code < lowestStatus || code > highestStatus) {
        problem = http::error::bad_status;
        return;
    }
    m_status = code;
}

template <bool IsRequest>
void message_parser<IsRequest>::on_field_impl(
    http::field field, string_view name, string_view value, error_code& problem)
{
    problem = {};
    // Trailers are ignored: they must not override the headers.
    if (m_headComplete) {
        m_trailerBytes += name.size() + value.size() + fieldLineBytes;
        if (m_trailerBytes > maximumFramingBytes)
            problem = framingLimit;
        return;
    }
    if (field == http::field::transfer_encoding && !isChunkedOnly(value)) {
        problem = http::error::bad_transfer_encoding;
        return;
    }
    m_headBytes += name.size() + value.size();
    m_headers.emplace_back(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
}

template <bool IsRequest> void message_parser<IsRequest>::on_header_impl(error_code& problem)
{
    problem = {};
    m_headComplete = true;
    m_listener.onMessageHead();
    if (m_stopped)
        problem = http::error::end_of_stream;
}

template <bool IsRequest>
void message_parser<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t>&, error_code& problem)
{
    problem = {};
}

template <bool IsRequest> std::size_t message_parser<IsRequest>::on_body_impl(string_view bytes, error_code& problem)
{
    problem = {};
    m_listener.onMessageBody({ bytes.data(), bytes.size() });
    if (m_stopped)
        problem = http::error::end_of_stream;
    return bytes.size();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_chunk_header_impl(std::uint64_t, string_view extensions, error_code& problem)
{
    problem = {};
    if (extensions.size() > maximumFramingBytes)
        problem = framingLimit;
}

template <bool IsRequest>
std::size_t message_parser<IsRequest>::on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& problem)
{
    return on_body_impl(bytes, problem);
}

template <bool IsRequest> void message_parser<IsRequest>::on_finish_impl(error_code& problem) { problem = {}; }

template class message_parser<true>;
template class message_parser<false>;

} // namespace pollen
