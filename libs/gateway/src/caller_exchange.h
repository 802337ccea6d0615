#pragma once

#include <functional>
#include <gateway/api_error.h>
#include <gateway/gateway_dependencies.h>
#include <http/http_server.h>
#include <memory>

namespace pollen {

// Outcome of a request that was answered in full.
constexpr const char* outcomeOk = "ok";

// One request of a caller from its arrival to its end: what chat completions and service calls have in common.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
public:
    caller_exchange(gateway_dependencies& dependencies, std::shared_ptr<server_request> request, request_id id);
    virtual ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;

    // Starts the work. onEnd is called once, when nothing more will happen; possibly from inside start().
    void start(std::function<void()> onEnd);

protected:
    // Reads the request and begins; throws request_error.
    virtual void begin() = 0;
    // The caller went away before its answer was complete.
    virtual void onCallerDisconnected() = 0;

    // Counts the request for its team for as long as it lives. Throws request_error when the team, this daemon or the
    // log's backlog is at its limit.
    void admit(const team_name& team, const class_name& requestClass);

    // Answers with a typed error and ends.
    void replyWithError(const api_error& error);
    // Logs the end of the request and lets go of it.
    void end(const std::string& outcome);
    bool ended() const { return !m_onEnd; }

    void recordStep(const std::string& event, const std::string& detail);
    duration elapsed() const;
    // Headers that every answer to a request that ran has.
    http_headers answerHeaders(run_state run) const;
    // Key of the bill: the request itself, or what the caller calls the same request when it sends it again.
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
