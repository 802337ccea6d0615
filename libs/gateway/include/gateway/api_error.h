#pragma once

#include <base/clock.h>
#include <base/error.h>
#include <base/typed_id.h>
#include <http/http_message.h>
#include <optional>
#include <string>

namespace pollen {

// Whether the work of a failed request was run. Callers decide by it whether to repeat a request, so it must never be
// guessed: Unknown is reported where it is not certain.
enum class run_state {
    NotRun,
    Ran,
    Unknown,
};

const char* toText(run_state state);

// Error types reported to callers.
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

// A typed error response.
struct api_error {
    error_kind kind = error_kind::MalformedRequest;
    run_state run = run_state::NotRun;
    std::string message;
    // Time after which the caller should retry; none where a retry does not help.
    std::optional<duration> retryAfter {};

    friend bool operator==(const api_error&, const api_error&) = default;
};

// Thrown when a request cannot be processed; holds the error response.
class request_error final : public error {
public:
    explicit request_error(api_error error);
    const api_error& response() const { return m_response; }

private:
    api_error m_response;
};

// Returns the HTTP status of an error.
int statusOf(const api_error& error);

// Returns the complete response to a failed request.
http_response toResponse(const api_error& error, const request_id& request);

// Returns the error as a JSON object on one line, as in the response body.
std::string toJson(const api_error& error, const request_id& request);

} // namespace pollen
