#include <gateway/api_error.h>

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

struct kind_entry {
    error_kind kind;
    const char* text;
    int status;
};

constexpr kind_entry kinds[] = {
    { error_kind::MalformedRequest, "malformed_request", 400 },
    { error_kind::UnknownRoute, "unknown_route", 404 },
    { error_kind::MissingKey, "missing_key", 401 },
    { error_kind::WrongKey, "wrong_key", 401 },
    { error_kind::UnknownModel, "unknown_model", 404 },
    { error_kind::UnknownClass, "unknown_class", 400 },
    { error_kind::UnknownService, "unknown_service", 404 },
    { error_kind::NotAllowed, "not_allowed", 403 },
    { error_kind::InvalidSession, "invalid_session", 400 },
    { error_kind::SessionConflict, "session_conflict", 409 },
    { error_kind::InvalidDeadline, "invalid_deadline", 400 },
    { error_kind::InvalidIdempotencyKey, "invalid_idempotency_key", 400 },
    { error_kind::IdempotencyKeyReused, "idempotency_key_reused", 422 },
    { error_kind::DeadlineUnreachable, "deadline_unreachable", 503 },
    { error_kind::QualityUnreachable, "quality_unreachable", 503 },
    { error_kind::NoServerAvailable, "no_server_available", 503 },
    { error_kind::NoConfiguration, "no_configuration", 503 },
    { error_kind::TooManyRequests, "too_many_requests", 429 },
    { error_kind::Overloaded, "overloaded", 503 },
    { error_kind::ClaimUnavailable, "claim_unavailable", 503 },
    { error_kind::OutcomeUnknown, "outcome_unknown", 409 },
    { error_kind::AnswerNotKept, "answer_not_kept", 409 },
    { error_kind::BackendRejected, "backend_rejected", 400 },
    { error_kind::BackendFailed, "backend_failed", 502 },
    { error_kind::BackendTimedOut, "backend_timed_out", 504 },
};

const kind_entry& entryOf(error_kind kind)
{
    for (const kind_entry& entry : kinds) {
        if (entry.kind == kind)
            return entry;
    }
    return kinds[0];
}

} // namespace

const char* toText(run_state state)
{
    switch (state) {
    case run_state::NotRun:
        return "not_run";
    case run_state::Ran:
        return "ran";
    case run_state::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* toText(error_kind kind) { return entryOf(kind).text; }

request_error::request_error(api_error response)
    : error(response.message)
    , m_response(std::move(response))
{
}

int statusOf(const api_error& error) { return entryOf(error.kind).status; }

std::string toJson(const api_error& error, const request_id& request)
{
    const nlohmann::json json { { "error",
        { { "type", toText(error.kind) }, { "message", error.message }, { "run", toText(error.run) },
            { "request_id", request.text() } } } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_response toResponse(const api_error& error, const request_id& request)
{
    http_response response { statusOf(error), {}, toJson(error, request) };
    response.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", request.text() },
        { "X-Pollen-Run", toText(error.run) } };
    if (error.retryAfter) {
        // The header has whole seconds. 0 would invite an immediate retry, so the minimum is 1.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count();
        response.headers.emplace_back("Retry-After", std::to_string(std::max<int64_t>(1, seconds)));
    }
    return response;
}

} // namespace pollen
