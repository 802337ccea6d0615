#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <base/typed_id.h>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollen {

// A generation request to a model engine.
struct engine_request {
    request_id id;
    version_ref version;
    // The caller's chat completion, parsed and validated. The adapter replaces its model.
    std::shared_ptr<const nlohmann::json> body;
    bool streaming = false;
    // Scheduling priority in the engine's queue; lower values run first.
    int64_t priority = 0;
    duration timeout { 0 };

    friend bool operator==(const engine_request&, const engine_request&) = default;
};

struct token_usage {
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Why a call to a backend server ended without a complete answer.
enum class backend_failure {
    // The request was never sent, so it certainly did not run.
    NotReached,
    // The server refused the request temporarily and reports that it did not run.
    Busy,
    // The server rejected the request as invalid, as every other server would.
    Rejected,
    // The server failed while running the request.
    ServerError,
    ConnectionLost,
    TimedOut,
    // The answer has the id of another request.
    RequestIdMismatch,
    // The answer is truncated or cannot be parsed.
    Malformed,
};

const char* toText(backend_failure failure);

// Returns whether the request certainly did not run, so that even a non-repeatable one may be sent to another server.
bool certainlyNotRun(backend_failure failure);

// Receives one answer. The last call is exactly one of onAnswered and onFailed. Nothing is called after the engine_call
// has been destroyed.
class engine_listener {
public:
    virtual ~engine_listener() = default;

    // Receives part of the answer: complete lines of server-sent events as they arrive, without the final [DONE], for
    // streaming requests; otherwise the JSON body.
    virtual void onBytes(std::string_view bytes) = 0;
    virtual void onAnswered(const token_usage& usage) = 0;
    // detail: the engine's error message, for Rejected.
    virtual void onFailed(backend_failure failure, const std::string& detail) = 0;
};

// A call in progress. Destroying it cancels the work on the server.
class engine_call {
public:
    virtual ~engine_call() = default;

    // Stops reading the answer until resume(), while the caller reads too slowly.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// Load report of an engine. It lags behind the actual load.
struct engine_load {
    uint32_t running = 0;
    uint32_t queued = 0;
    bool leaving = false;
    std::vector<version_ref> versions;

    friend bool operator==(const engine_load&, const engine_load&) = default;
};

// Client interface to the servers that run models.
class model_engine {
public:
    virtual ~model_engine() = default;

    // The listener must outlive the returned call and is not called from inside generate().
    virtual std::unique_ptr<engine_call> generate(
        const endpoint& server, const engine_request& request, engine_listener& listener)
        = 0;

    // Receives none if the engine does not answer or its report is malformed.
    using load_callback = std::function<void(const std::optional<engine_load>&)>;
    virtual void load(const endpoint& server, load_callback callback) = 0;
};

} // namespace pollen
