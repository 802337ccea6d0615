#pragma once

#include "admission.h"

#include <functional>
#include <http/http_server.h>
#include <memory>
#include <relay/answer_buffer.h>
#include <relay/answer_end.h>
#include <relay/attempt_history.h>
#include <relay/event_splitter.h>
#include <relay/execution_evidence.h>
#include <relay/first_byte_timer.h>
#include <relay/memory_reservation.h>
#include <relay/pace_timer.h>
#include <relay/relay_dependencies.h>
#include <relay/slow_answer_watch.h>
#include <relay/stall_detector.h>

namespace pollen {

// Relays one request of a caller: admits it, chooses a server, retries on other servers where that is safe and forwards
// the answer.
class relay_exchange final : public std::enable_shared_from_this<relay_exchange>, private exchange_listener {
public:
    relay_exchange(relay_dependencies& dependencies, std::shared_ptr<server_request> request);
    ~relay_exchange() override;
    relay_exchange(const relay_exchange&) = delete;
    relay_exchange& operator=(const relay_exchange&) = delete;

    // onEnd is called once, after the request has finished, possibly from within start(). A request whose deadline lies
    // behind mustEndBy is refused: the daemon stops then, and it could be cut.
    void start(std::function<void()> onEnd, std::optional<time_point> mustEndBy = {});

    // Runs the timers of the request: waits, first-byte timing and checks for a silent server.
    void tick(time_point now);

    // Answers the request as far as that is still possible, because the daemon stops.
    void endWithDaemon();

    // Stops the request and releases the server and all other resources of the daemon. onEnd is not called.
    void abandon();

private:
    void onHead(int status, const http_headers& headers) override;
    void onData(std::string_view bytes) override;
    void onFinished(const exchange_result& result) override;

    // Cancels the current attempt, if there is one, and whatever the next one waits for.
    void cancelAttempts();
    void attempt();
    // Admits the request and makes its first attempt, unless it waits for the fleet state.
    void admitAndAttempt();
    // Chooses a server, of any version if none of the wanted one accepts work at present. A session keeps its version
    // if servers of that version are only at their rate limits.
    std::optional<placement_choice> chooseServer(placement_request& placement, const relay_service& service);
    void waitForCapacity(placement_request placement, const relay_service& service);
    // The request's session last used this version, as far as this daemon knows.
    bool hasUsedVersion(const version_name& version) const;
    bool hasRateLimit(server_handle server) const;
    // Excludes the servers that have named a rate limit.
    void excludeLimitedServers(placement_request& placement) const;
    // Asks for a permit for the chosen server or the ones that would be chosen next, as far as they have a rate limit.
    void requestPermit(const placement_choice& first, placement_request placement, const relay_service& service);
    void onPermit(const permit_decision& decision);
    // Sends the request to the server if it may still be used; false if not.
    bool sendWithPermit(const instance_id& server);
    void send(const placement_choice& choice, const placement_request& placement);
    duration timeLeft() const;
    bool isLargestModel() const;
    // Empty for routes that need no key.
    std::string teamName() const;
    // The caller's estimate of the tokens to be generated, or else their maximum.
    uint32_t expectedTokens() const;
    void recordAnswerPace();
    // Time until a server of the request's service takes requests again, as far as servers have said.
    duration serverPause() const;

    // How the answer of the current attempt has ended.
    answer_end answerEnd(const exchange_result& result) const;
    // The answer states that the server has not run a request; whether it is this one, m_isRefusal tells.
    bool claimsRefusal() const;
    bool isStreamAnswer() const;
    // Drops what has been read of the current answer and was not passed on, as the answer has ended for this reason.
    void discardAnswer(const char* reason);
    // Logs and counts that the current run of a stream is not whole.
    void recordBrokenStream(const char* reason);
    // further: attempts that are to be counted as runs in addition to those that are.
    bool hasAttemptsLeft(uint32_t further = 0) const;
    bool tryEscalation();
    // Cancels the current attempt and sends the request to this server instead.
    void sendInstead(const placement_choice& choice, const placement_request& placement, const char* reason);
    // Sends the request to another server if the current attempt is slow and a repeat is allowed.
    void repeatIfSlow(time_point now);
    bool canFallBack() const;
    void fallBack();
    // Starts another attempt if the request may be sent again, or fails the request. arrived: the last attempt reached
    // a server.
    void retryOrFail(const char* reason, bool arrived);
    void stopAnswer(const char* reason);
    void forwardEvents(const std::string& events);
    // Starts the caller's response, with the framing that the server's answer has.
    void startCallersStream(bool isFramed);
    void finishAnswer(body_end bodyEnd);
    void onExchangeFailed(const exchange_result& result);
    void countAnswer(bool good);
    // All requests of the service are being moved to another version. For some time, many first bytes are late and
    // streams slow for that reason alone.
    bool isSwitchingVersion() const;
    rollout_subject subject() const;
    // Takes one repeat from the daemon's allowance; false if it is exhausted.
    bool takeRepeat(const service_name& service);
    // A complete answer shows that neither the request nor any of its parts crashes servers.
    void recordAnswerForCrashes();
    // Reports that the server may have crashed while it ran the request. sign: the symptom, for log and metrics.
    void suspectCrash(const char* sign);

    // Ends the request with an error answer by the router.
    void refuse(int status, const char* type, std::optional<duration> retryAfter = {});
    // Ends the request without a server's answer, after a last fallback to the smallest model if that is possible.
    void failRequest(const char* reason);
    void onCallerGone();
    void releaseServer();
    void recordAttemptEnd(const char* reason);
    // A probe has found that the silent server no longer accepts connections.
    void onServerUnreachable();
    bool isServerLeaving() const;
    // Another server may go on with the stream. Takes one repeat from the daemon's allowance if so.
    bool takeContinuation();
    void end(const std::string& outcome);

    relay_dependencies& m_dependencies;
    std::shared_ptr<server_request> m_request;
    request_traits m_traits;
    time_point m_start;
    // When the first event of a stream was forwarded to the caller.
    time_point m_firstByteAt {};
    admission m_admission;
    std::function<void()> m_onEnd;
    std::optional<time_point> m_mustEndBy;

    // The current attempt.
    std::unique_ptr<exchange> m_exchange;
    std::optional<server_handle> m_server;
    instance_id m_serverId;
    endpoint m_serverAddress;
    // Start of the server's process, Unix milliseconds.
    int64_t m_serverStarted = 0;
    service_name m_service;
    version_name m_version;
    time_point m_sentAt {};
    uint32_t m_unreadTokens = 0;
    // From sending to the head of the answer.
    duration m_firstByteTime { 0 };
    bool m_countsAsNonTarget = false;
    // The attempt belongs to the load that a trial puts on a few engines.
    bool m_underTrialLoad = false;
    answer_traits m_answer;
    // The answer names this request and states that the server has not run it.
    bool m_isRefusal = false;
    int m_status = 0;
    // The answer of this attempt is not forwarded.
    bool m_discard = false;
    size_t m_discardedBytes = 0;

    // Index of the requested model in the route's list.
    size_t m_model = 0;
    std::vector<server_handle> m_triedServers;
    // The daemon has no fleet state yet, or one that is too old to decide on the request.
    bool m_awaitsFleetState = false;
    // A permit for a server with a rate limit has been asked for.
    bool m_awaitsPermit = false;
    // No permit was to be had for this attempt, and for how long.
    bool m_permitDenied = false;
    duration m_permitWait { 0 };
    // End of the current wait for capacity on a server, and the number of such waits.
    std::optional<time_point> m_retryAt;
    int m_capacityWaits = 0;
    // An attempt has failed on a server.
    bool m_hasFailed = false;
    uint32_t m_attempts = 0;
    // Attempts that have run or may have run on a server. Only these count against the limit of the route.
    uint32_t m_runs = 0;
    // The request has been counted towards the repeat allowance.
    bool m_countedForRepeats = false;
    // A larger model could not answer, so the smallest model's answer is forwarded whatever its confidence.
    bool m_acceptAnyConfidence = false;
    execution_evidence m_evidence;
    http_headers m_headers;
    answer_buffer m_body;
    event_splitter m_events;
    // For the partial event.
    memory_reservation m_eventMemory;
    bool m_streamStarted = false;
    // The caller's response has chunks.
    bool m_isCallerFramed = false;
    // Complete events before the current attempt.
    size_t m_earlierEvents = 0;
    bool m_paused = false;
    const char* m_lastReason = "";
    // Why the request was not retried after its last attempt.
    const char* m_noRetryReason = "";
    attempt_history m_history;
    stall_detector m_silence;
    first_byte_timer m_firstByteTimer;
    pace_timer m_paceTimer;
    slow_answer_watch m_slowAnswers;
};

} // namespace pollen
