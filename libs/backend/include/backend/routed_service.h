#pragma once

#include <backend/model_engine.h>
#include <http/http_message.h>

namespace pollen {

// One call to a plain service, such as an order service.
struct service_call {
    request_id id;
    std::string method;
    // Path below the service's root, with its query string.
    std::string target;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    // The call must not reach the server twice, not even by a retry below HTTP.
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

// Handle of a call in progress; destroying it drops the answer.
class service_handle {
public:
    virtual ~service_handle() = default;
};

// A server of a plain service.
class routed_service {
public:
    virtual ~routed_service() = default;

    // Exactly one of answer and failure is given. Not called from inside call().
    using callback = std::function<void(const service_answer*, std::optional<backend_failure>)>;
    virtual std::unique_ptr<service_handle> call(const endpoint& server, const service_call& call, callback callback)
        = 0;
};

} // namespace pollen
