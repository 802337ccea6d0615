#pragma once

#include "caller_exchange.h"

#include <gateway/chat_request.h>
#include <gateway/session_token.h>

namespace pollen {

// One chat completion: chooses a version and a server, relays the answer, retries as long as nothing has been sent to
// the caller, and bills at most once.
class chat_exchange final : public caller_exchange, private engine_listener {
public:
    using caller_exchange::caller_exchange;
    ~chat_exchange() override;

private:
    void begin() override;
    void onCallerDisconnected() override;
    void onInstanceStops() override;

    void onBytes(std::string_view bytes) override;
    void onAnswered(const token_usage& usage) override;
    void onFailed(backend_failure failure, const std::string& detail) override;

    void readSession();
    void attempt();
    route_request makeRouteRequest() const;
    void recordDecision(const route_decision& decision);
    void replyWithRouteError(const route_decision& decision);
    void callEngine(const route_decision& decision);
    void releaseServer();
    bool canRetry(backend_failure failure);
    run_state runState() const { return m_certainlyNotRun ? run_state::NotRun : run_state::Unknown; }
    void failAnswer(backend_failure failure, const std::string& detail);
    api_error toError(backend_failure failure, const std::string& detail) const;
    void startStream();
    void flush();
    void resumeWhenSent();
    void finishAnswer();
    void submitRatingSample() const;
    bill makeBill(const token_usage& usage) const;
    void billOnce(const token_usage& usage, std::function<void()> onRecorded);
    http_headers makeChatAnswerHeaders(const char* contentType) const;

    chat_request m_chat;
    std::string m_idempotencyKey;
    time_point m_deadline {};
    std::optional<session> m_session;
    // Why the session was moved to another version; empty if it was not.
    std::string m_sessionChangeReason;
    version_ref m_version;
    double m_inputCost = 0;
    double m_outputCost = 0;
    team_class_metrics* m_teamClassMetrics = nullptr;
    std::unique_ptr<engine_call> m_call;
    std::optional<server_handle> m_currentServer;
    std::vector<server_handle> m_failedServers;
    size_t m_attempts = 0;
    // Whether no attempt so far can have run on a server.
    bool m_certainlyNotRun = true;
    // Part of the answer that has not been passed to the caller's connection yet.
    std::string m_pendingBytes;
    // Copy of the whole answer, kept only if it will be submitted for rating.
    std::string m_sampledAnswer;
    bool m_isRatingSample = false;
    bool m_billed = false;
    bool m_flushPosted = false;
    bool m_streamStarted = false;
    bool m_paused = false;
    // Estimates the output tokens of a stream that ends without usage data.
    uint64_t m_eventsReceived = 0;
    std::optional<time_point> m_lastBytesTime;
};

} // namespace pollen
