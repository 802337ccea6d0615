#pragma once

#include <backend/model_engine.h>
#include <http/http_message.h>

namespace pollen {

// One call to a routed service, such as an order service.
struct service_call {
    request_id id;
    std::string method;
    // Path relative to the service's root, with the query string.
    std::string target;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    // Whether the call must not reach the server twice, not even by a retry on a reused connection.
    bool nonRepeatable = false;
    duration timeout { 0 };

    friend bool operator==(const service_call&, const service_call&) = default;
};

struct service_answer {
    int status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const service_answer&, const service_answer&) = default;
};

// A call in progress. Destroying it discards the answer.
class service_handle {
public:
    virtual ~service_handle() = default;
};

// Client interface to the servers of routed services.
class routed_service {
public:
    virtual ~routed_service() = default;

    // Receives exactly one of answer and failure. Not called from inside call().
    using callback = std::function<void(const service_answer*, std::optional<backend_failure>)>;
    virtual std::unique_ptr<service_handle> call(const endpoint& server, const service_call& call, callback callback)
        = 0;
};

} // namespace pollen
