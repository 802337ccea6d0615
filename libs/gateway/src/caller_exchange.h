#pragma once

#include <functional>
#include <gateway/api_error.h>
#include <gateway/gateway_dependencies.h>
#include <http/http_server.h>
#include <memory>

namespace pollen {

// Outcome of a request that was answered in full.
constexpr const char* outcomeOk = "ok";

// Handles one request of a caller from arrival to completion. Base class of chat completions and service calls.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
public:
    caller_exchange(gateway_dependencies& dependencies, std::shared_ptr<server_request> request, request_id id);
    virtual ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;

    // Starts processing. onEnd is called exactly once, after the exchange has completed; possibly from inside start().
    void start(std::function<void()> onEnd);

    // Answers the request as far as that is still possible, because the instance stops.
    void endWithInstance();

protected:
    // Validates the request and starts processing it. Throws request_error.
    virtual void begin() = 0;
    // Called when the caller disconnects before its answer is complete.
    virtual void onCallerDisconnected() = 0;
    // Called when the instance stops before the answer is complete; sends an error.
    virtual void onInstanceStops() = 0;

    // Counts the request towards its team's limit until this object is destroyed. Throws request_error when the team
    // or the backlog of bills for the log is at its limit, or when the instance stops before the request's time is
    // over.
    void admit(const team_name& team, const class_name& requestClass, duration timeLeft);

    // Sends a typed error to the caller and ends the exchange.
    void replyWithError(const api_error& error);
    // Counts and logs the outcome and calls onEnd. Does nothing if the exchange has ended already.
    void end(const std::string& outcome);
    bool ended() const { return !m_onEnd; }

    // Adds a step to the decision journal.
    void recordStep(const std::string& event, const std::string& detail);
    duration elapsed() const;
    // Headers common to all answers to requests that ran.
    http_headers answerHeaders(run_state run) const;
    // Id of the bill: the request id or, so that a repeated request is billed once, a digest of team, scope and
    // idempotency key.
    std::string billId(const std::string& scope, const std::string& idempotencyKey) const;

    gateway_dependencies& m_dependencies;
    std::shared_ptr<server_request> m_request;
    request_id m_id;
    time_point m_start;
    team_name m_team;
    class_name m_class;
    std::string m_target;
    instance_id m_server;
    // Why the target was chosen.
    std::string m_reason;

private:
    std::function<void()> m_onEnd;
    bool m_isCountedForTeam = false;
};

} // namespace pollen
