#pragma once

#include <optional>
#include <relay/relay_dependencies.h>

namespace pollen {

// Notices when an attempt of one request is slow, and finds the server for a repeat. Without a limit in the settings it
// does nothing.
class slow_answer_watch {
public:
    explicit slow_answer_watch(relay_dependencies& dependencies)
        : m_dependencies(dependencies)
    {
    }

    // An attempt that has been sent.
    struct attempt {
        service_name service;
        model_name model;
        instance_id server;
        duration expectedWait { 0 };
        // When the request arrived, and the latency objective of its route; zero for none.
        time_point arrivedAt {};
        duration latencyObjective { 0 };
        time_point deadline {};
        // Attempts of requests that may run only once are neither watched nor learned from.
        bool mayRepeat = false;
    };

    // The first attempt of the request counts it towards the operators' limit.
    void start(const attempt& attempt, time_point now);

    // The head of the attempt's answer has arrived. Failures are not learned from: they are often fast.
    void stop(time_point now, bool isAnswer);

    // Whether the attempt is slow and a repeat may pay. Called on every tick; true at growing intervals only, so that
    // requests that wait on many slow servers do not load the daemon with placements. After a gap between the calls it
    // first leaves time for answers that arrived in the gap to be read.
    bool checkIsSlow(time_point now);

    // The server that the request is to be sent to instead, if a repeat pays and both the operators' limit and the
    // fleet's retry budget allow it. Takes the repeat from both. placement: excludes all servers that may not get the
    // repeat.
    std::optional<placement_choice> chooseServer(const placement_request& placement,
        const indexed_configuration& configuration, const request_id& request, time_point now);

private:
    waiting_attempt waitingAttempt(time_point now) const;
    bool isRolloutRunning() const;
    void countOverdue(duration waited);
    void logRepeat(const waiting_attempt& waiting, const placement_choice& choice, const request_id& request,
        time_point now) const;

    relay_dependencies& m_dependencies;
    attempt m_attempt;
    time_point m_sentAt {};
    // When checkIsSlow() was last called for the attempt.
    time_point m_lastCall {};
    bool m_isCounted = false;
    bool m_isRunning = false;
    // When the attempt is to be checked next; none if it needs no check.
    std::optional<time_point> m_checkAt;
    std::optional<latency_window::sample_id> m_overdue;
    // The server of the repeat; empty before it. A request gets one repeat at most.
    instance_id m_repeatServer;
};

} // namespace pollen
