#pragma once

#include "balancer.h"
#include "workload.h"

namespace pollen {

enum class caller_outcome {
    Complete,
    // The last answer was a typed refusal.
    Refused,
    // No definite answer after all tries.
    GaveUp,
};

// One answer, or the lack of one, to one try.
struct try_record {
    std::string daemon;
    int status = 0;
    // From X-Pollen-Run; empty when there was no answer.
    std::string run;
    std::string requestId;
    // The connection ended before the answer did.
    bool cut = false;
    int64_t endMilliseconds = 0;
};

// Everything one caller saw of one request.
struct caller_record {
    std::string fleet;
    std::string kind;
    std::string requestClass;
    std::string team;
    // Word that the answer must begin with; also the idempotency key.
    std::string marker;
    bool isService = false;
    bool nonRepeatable = false;
    caller_outcome outcome = caller_outcome::GaveUp;
    std::vector<try_record> tries;
    std::string version;
    bool wrongAnswer = false;
    // The session's version changed, and whether the router said so.
    bool sessionChanged = false;
    bool sessionChangeTold = false;
    double milliseconds = 0;
    double firstMilliseconds = 0;
};

// A session that several requests share.
struct caller_session {
    std::string token = "new";
    std::string version;
};

// One caller with one request: sends it, retries through another daemon as callers do, and keeps a record.
class simulated_caller final : private exchange_listener {
public:
    // session: null outside sessions. onDone is called once; the caller may be destroyed afterwards from the loop.
    simulated_caller(event_loop& loop, http_client& client, balancer& balancer, const planned_fleet& fleet,
        const request_kind& kind, std::string marker, std::shared_ptr<caller_session> session,
        std::function<void()> onDone);

    void start();
    const caller_record& record() const { return m_record; }

private:
    void onHead(int status, const http_headers& headers) override;
    void onData(std::string_view bytes) override;
    void onFinished(const exchange_result& result) override;

    http_request makeRequest() const;
    void readAnswer();
    std::string answerText() const;
    void updateSession();
    void retryLater();
    void finish(caller_outcome outcome);

    http_client& m_client;
    balancer& m_balancer;
    const planned_fleet& m_fleet;
    const request_kind& m_kind;
    std::shared_ptr<caller_session> m_session;
    std::function<void()> m_onDone;
    timer m_retry;
    caller_record m_record;
    std::unique_ptr<exchange> m_exchange;
    http_headers m_headers;
    std::string m_body;
    int m_status = 0;
    int m_lastDaemon = -1;
    time_point m_start {};
};

} // namespace pollen
