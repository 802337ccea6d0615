#pragma once

#include <base/clock.h>
#include <base/error.h>
#include <base/typed_id.h>
#include <http/http_message.h>
#include <optional>
#include <string>

namespace pollen {

// Whether the work behind a failed request was done. Callers act on it, so it must be true.
enum class run_state {
    NotRun,
    Ran,
    Unknown,
};

const char* toText(run_state state);

// What went wrong, as callers see it.
enum class error_kind {
    MalformedRequest,
    UnknownRoute,
    MissingKey,
    WrongKey,
    UnknownModel,
    UnknownClass,
    UnknownService,
    NotAllowed,
    InvalidSession,
    SessionConflict,
    InvalidDeadline,
    InvalidIdempotencyKey,
    IdempotencyKeyReused,
    DeadlineUnreachable,
    QualityUnreachable,
    NoServerAvailable,
    NoConfiguration,
    TooManyRequests,
    Overloaded,
    ClaimUnavailable,
    OutcomeUnknown,
    AnswerNotKept,
    BackendRejected,
    BackendFailed,
    BackendTimedOut,
};

const char* toText(error_kind kind);

// One typed error response.
struct api_error {
    error_kind kind = error_kind::MalformedRequest;
    run_state run = run_state::NotRun;
    std::string message;
    // When the caller should come back; none where that does not help.
    std::optional<duration> retryAfter {};

    friend bool operator==(const api_error&, const api_error&) = default;
};

// Thrown while a request is being read; carries the response to give.
class request_error final : public error {
public:
    explicit request_error(api_error error);
    const api_error& response() const { return m_response; }

private:
    api_error m_response;
};

// HTTP status of an error.
int statusOf(const api_error& error);

// The complete response to a request that failed.
http_response toResponse(const api_error& error, const request_id& request);

// The JSON object of an error on one line, as in the body of the response.
std::string toJson(const api_error& error, const request_id& request);

} // namespace pollen
