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

// One piece of work for a model engine.
struct engine_request {
    request_id id;
    version_ref version;
    // The chat completion as the caller sent it, parsed and checked; the adapter sets the model in it.
    std::shared_ptr<const nlohmann::json> body;
    bool streaming = false;
    // 0 goes first.
    int64_t priority = 0;
    duration timeout { 0 };

    friend bool operator==(const engine_request&, const engine_request&) = default;
};

struct token_usage {
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

// How one call to a backend server ended without a whole answer.
enum class backend_failure {
    // Could not be reached; the work was certainly not run.
    NotReached,
    // Refused for the moment, and says that the work was not run.
    Busy,
    // Rejected the request as wrong; it would be rejected anywhere.
    Rejected,
    // Failed while running.
    ServerError,
    ConnectionLost,
    TimedOut,
    // The answer belongs to another request.
    RequestIdMismatch,
    // The answer ended too early or cannot be read.
    Malformed,
};

const char* toText(backend_failure failure);

// True when the work was certainly not run, so that another server may run it whatever it is.
bool certainlyNotRun(backend_failure failure);

// Receives one answer. Exactly one of onAnswered and onFailed is called, last; nothing after the call is destroyed.
class engine_listener {
public:
    virtual ~engine_listener() = default;

    // Part of the answer: for streaming, whole lines of server-sent events as they arrive, without the closing [DONE];
    // otherwise the JSON body.
    virtual void onBytes(std::string_view bytes) = 0;
    virtual void onAnswered(const token_usage& usage) = 0;
    // detail: for Rejected, the engine's own message.
    virtual void onFailed(backend_failure failure, const std::string& detail) = 0;
};

// A call in progress. Destroying it cancels the work on the server.
class engine_call {
public:
    virtual ~engine_call() = default;

    // Holds back the answer of a caller that reads slowly.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// What an engine says of itself; late.
struct engine_load {
    uint32_t running = 0;
    uint32_t queued = 0;
    bool leaving = false;
    std::vector<version_ref> versions;

    friend bool operator==(const engine_load&, const engine_load&) = default;
};

// A server that runs models.
class model_engine {
public:
    virtual ~model_engine() = default;

    // The listener must outlive the returned call and is not called from inside generate().
    virtual std::unique_ptr<engine_call> generate(
        const endpoint& server, const engine_request& request, engine_listener& listener)
        = 0;

    // Reports none when the engine does not answer.
    using load_callback = std::function<void(const std::optional<engine_load>&)>;
    virtual void load(const endpoint& server, load_callback callback) = 0;
};

} // namespace pollen
