#pragma once

#include "admission.h"

#include <functional>
#include <http/http_server.h>
#include <memory>
#include <relay/answer_buffer.h>
#include <relay/attempt_history.h>
#include <relay/event_splitter.h>
#include <relay/first_byte_timer.h>
#include <relay/relay_dependencies.h>
#include <relay/stall_detector.h>

namespace pollen {

// What has become of the work behind a request.
enum class run_knowledge {
    NotRun,
    MayHaveRun,
};

// One request of a caller from its arrival to its end: finds its route, chooses servers, repeats what may be repeated
// and passes the answer on.
class relay_exchange final : public std::enable_shared_from_this<relay_exchange>, private exchange_listener {
public:
    relay_exchange(relay_dependencies& dependencies, std::shared_ptr<server_request> request);
    ~relay_exchange() override;
    relay_exchange(const relay_exchange&) = delete;
    relay_exchange& operator=(const relay_exchange&) = delete;

    // onEnd is called once, when nothing more will happen; possibly from inside start().
    void start(std::function<void()> onEnd);

    // Looks for silence of the server.
    void tick(time_point now);

    // Lets go of the server and of everything else that the daemon owns; nothing happens any more.
    void abandon();

private:
    void onHead(int status, const http_headers& headers) override;
    void onData(std::string_view bytes) override;
    void onFinished(const exchange_result& result) override;

    void attempt();
    // Admits the request and makes its first attempt, as soon as the fleet is known.
    void proceed();
    void waitForRoom(placement_request placement, const relay_service& service);
    void send(const placement_choice& choice, const placement_request& placement);
    duration timeLeft() const;
    bool isLargestModel() const;
    // Empty for routes that anybody may use.
    std::string teamName() const;
    // Tokens that the caller expects to be generated.
    uint32_t expectedTokens() const;
    void countPace();

    bool isStreamAnswer() const { return m_admission.route->streaming && m_status == 200; }
    bool mayTryAgain() const;
    bool tryEscalation();
    void escalate(const placement_choice& choice, const placement_request& placement);
    bool canFallBack() const;
    void fallBack();
    // arrived: the attempt reached a server.
    void tryAgain(const char* reason, bool arrived);
    void cutAnswer();
    void passEvents(const std::string& events);
    void finishAnswer();
    void onBroken(const exchange_result& result);
    void countAnswer(bool good);
    // All requests of the service are moving to another version: for a while, many first bytes are late for that alone.
    bool isMoving() const;
    rollout_subject subject() const;
    // Takes one repeat out of the daemon's share.
    bool takeRepeat(const service_name& service);
    // The server may have ended while it ran the request. sign: what showed it.
    void suspectEnd(const char* sign);

    // Ends the request with an answer of the router's own.
    void refuse(int status, const char* type, std::optional<duration> retryAfter = {});
    // The servers have been tried, and there is nothing to pass on.
    void giveUp(const char* reason);
    void onCallerGone();
    void releaseServer();
    void noteAttemptEnd(const char* reason);
    // Nothing accepts connections at the address of the silent server any more.
    void onServerUnreachable();
    void end(const std::string& outcome);

    relay_dependencies& m_dependencies;
    std::shared_ptr<server_request> m_request;
    request_traits m_traits;
    time_point m_start;
    // When the caller was sent the first bytes of its stream.
    time_point m_firstByte {};
    admission m_admission;
    std::function<void()> m_onEnd;

    // The attempt that is running.
    std::unique_ptr<exchange> m_exchange;
    std::optional<server_handle> m_server;
    instance_id m_serverId;
    endpoint m_serverAddress;
    // Start of the server's process, Unix milliseconds.
    int64_t m_serverStarted = 0;
    service_name m_service;
    version_name m_version;
    time_point m_sent {};
    uint32_t m_unreadTokens = 0;
    bool m_countsAsOther = false;
    // The attempt is part of the load that a trial puts on a few engines.
    bool m_underTrialLoad = false;
    answer_traits m_answer;
    int m_status = 0;
    // The answer of this attempt is not passed on.
    bool m_discard = false;
    size_t m_discarded = 0;

    // Index of the model that answers, among those of the route.
    size_t m_model = 0;
    std::vector<server_handle> m_tried;
    // The daemon has just started and knows no configuration yet.
    bool m_awaitsView = false;
    // Until when the request waits for room on a server, and how often it has.
    std::optional<time_point> m_sendAgainAt;
    int m_roomWaits = 0;
    // A server has failed the request.
    bool m_failed = false;
    uint32_t m_attempts = 0;
    // Attempts that have or may have run; only these count against what the route allows.
    uint32_t m_runs = 0;
    // The request has earned its share of repeats.
    bool m_countedForRepeats = false;
    // A larger model was asked in vain; what the smallest one answers is passed on.
    bool m_anyAnswer = false;
    run_knowledge m_run = run_knowledge::NotRun;
    http_headers m_headers;
    answer_buffer m_body;
    event_splitter m_events;
    bool m_streamStarted = false;
    bool m_paused = false;
    const char* m_lastReason = "";
    // Why the request was not sent again after its last attempt.
    const char* m_obstacle = "";
    attempt_history m_history;
    stall_detector m_silence;
    first_byte_timer m_firstByteTimer;
};

} // namespace pollen
