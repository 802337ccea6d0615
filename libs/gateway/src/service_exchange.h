#pragma once

#include "caller_exchange.h"

namespace pollen {

// One call to a routed service. A non-repeatable call is claimed before it runs if it has an idempotency key, and is
// retried on another server only if the failed attempt certainly did not run.
class service_exchange final : public caller_exchange {
public:
    // service and target: NAME and /REST of the path /services/NAME/REST.
    service_exchange(gateway_dependencies& dependencies, std::shared_ptr<server_request> request, request_id id,
        service_name service, std::string target);
    ~service_exchange() override;

private:
    void begin() override;
    void onCallerDisconnected() override;
    void onInstanceStops() override;

    void claim();
    void onClaim(claim_outcome outcome, const recorded_answer* answer);
    void replay(const recorded_answer& answer);
    void attempt();
    void onCallFinished(const service_answer* answer, std::optional<backend_failure> failure);
    void onAnswered(const service_answer& answer);
    void onFailed(backend_failure failure);
    void replyWithFailure(backend_failure failure);
    void releaseServer();

    service_name m_service;
    std::string m_servicePath;
    std::string m_idempotencyKey;
    // Empty unless the call is claimed.
    std::string m_claimKey;
    bool m_repeatable = false;
    double m_cost = 0;
    time_point m_deadline {};
    std::unique_ptr<service_handle> m_call;
    std::optional<server_handle> m_currentServer;
    std::vector<server_handle> m_failedServers;
    size_t m_attempts = 0;
    // Whether no attempt so far can have run on a server.
    bool m_certainlyNotRun = true;
};

} // namespace pollen
