#include <relay/slow_answer_watch.h>

#include <algorithm>
#include <utility>

namespace pollen {

namespace {

// A slow attempt that is not repeated is checked again after this multiple of the time waited.
constexpr double recheckFactor = 1.25;
// While too little is known, attempts are checked this long after they are sent.
constexpr duration unknownDelay = std::chrono::seconds(1);
// The daemon checks every 50 ms. After a longer gap it was stopped or overloaded, and answers may wait unread.
constexpr duration maximumCheckGap = std::chrono::milliseconds(150);
// Time in which these answers are read.
constexpr duration readDelay = std::chrono::milliseconds(100);

} // namespace

void slow_answer_watch::start(const attempt& attempt, time_point now)
{
    slow_answer_policy& policy = m_dependencies.slowAnswers;
    m_checkAt.reset();
    m_overdue.reset();
    m_isRunning = attempt.mayRepeat && policy.isEnabled();
    if (policy.isEnabled() && !std::exchange(m_isCounted, true))
        policy.onRequest(attempt.service, now);
    if (!m_isRunning)
        return;
    m_attempt = attempt;
    m_sentAt = now;
    m_lastCall = now;
    m_checkAt = now + policy.repeatDelay(waitingAttempt(now)).value_or(unknownDelay);
}

void slow_answer_watch::stop(time_point now, bool isAnswer)
{
    m_checkAt.reset();
    if (!std::exchange(m_isRunning, false) || !isAnswer)
        return;
    m_dependencies.slowAnswers.countFirstByte(m_attempt.service, m_attempt.model, now - m_sentAt, m_overdue);
    const bool hasObjective = m_attempt.latencyObjective > duration(0);
    const time_point due = hasObjective ? m_attempt.arrivedAt + m_attempt.latencyObjective : m_attempt.deadline;
    if (m_repeatServer == m_attempt.server && now <= due)
        m_dependencies.metrics.countSlowAnswerRepeat(m_attempt.service.text(), "won");
}

waiting_attempt slow_answer_watch::waitingAttempt(time_point now) const
{
    waiting_attempt waiting { m_attempt.service, m_attempt.model, now - m_sentAt, m_attempt.expectedWait, {},
        m_attempt.deadline - now };
    const time_point objectiveAt = m_attempt.arrivedAt + m_attempt.latencyObjective;
    if (objectiveAt > m_sentAt)
        waiting.objective = objectiveAt - m_sentAt;
    return waiting;
}

// A cancelled attempt would blur the comparison of versions.
bool slow_answer_watch::isRolloutRunning() const
{
    const rollout_row* rollout = m_dependencies.rollouts.find(m_attempt.service);
    return rollout && rollout->state == rollout_state::Running;
}

void slow_answer_watch::countOverdue(duration waited)
{
    if (!m_overdue)
        m_overdue = m_dependencies.slowAnswers.countOverdue(m_attempt.service, m_attempt.model, waited);
}

bool slow_answer_watch::checkIsSlow(time_point now)
{
    if (!m_checkAt)
        return false;
    if (now - std::exchange(m_lastCall, now) > maximumCheckGap)
        m_checkAt = std::max(*m_checkAt, now + readDelay);
    if (now < *m_checkAt)
        return false;
    const slow_answer_policy& policy = m_dependencies.slowAnswers;
    const waiting_attempt waiting = waitingAttempt(now);
    const std::optional<duration> repeatDelay = policy.repeatDelay(waiting);
    if (repeatDelay && waiting.waited < *repeatDelay) {
        m_checkAt = m_sentAt + *repeatDelay;
        return false;
    }
    m_checkAt = m_sentAt + std::chrono::duration_cast<duration>(waiting.waited * recheckFactor);
    if (!repeatDelay)
        return false;
    if (waiting.waited >= *policy.usualDelay(waiting))
        countOverdue(waiting.waited);
    return m_repeatServer.empty() && !isRolloutRunning();
}

std::optional<placement_choice> slow_answer_watch::chooseServer(const placement_request& placement,
    const indexed_configuration& configuration, const request_id& request, time_point now)
{
    const relay_service* service = configuration.findService(placement.service);
    if (!service || placement.service != m_attempt.service)
        return std::nullopt;
    const auto choice = m_dependencies.servers.choose(placement, m_dependencies.state.servers(), *service, now);
    if (!choice)
        return std::nullopt;
    slow_answer_policy& policy = m_dependencies.slowAnswers;
    const waiting_attempt waiting = waitingAttempt(now);
    const slow_answer_decision decision = policy.decide(waiting, choice->wait, now);
    if (decision == slow_answer_decision::NotSlow || decision == slow_answer_decision::NoGain)
        return std::nullopt;
    // Checked again, a denied attempt would take the repeat of one that becomes slow later.
    m_checkAt.reset();
    const std::string& name = m_attempt.service.text();
    if (decision == slow_answer_decision::DeniedByLimit) {
        m_dependencies.metrics.countSlowAnswerRepeat(name, "denied_by_limit");
        return std::nullopt;
    }
    const bool taken = m_dependencies.repeats.take(m_attempt.service, now);
    m_dependencies.metrics.countRepeat(name, taken ? "sent" : "denied");
    m_dependencies.metrics.countSlowAnswerRepeat(name, taken ? "sent" : "denied_by_retry_budget");
    if (!taken)
        return std::nullopt;
    logRepeat(waiting, *choice, request, now);
    policy.onRepeat(m_attempt.service, now);
    countOverdue(waiting.waited);
    m_repeatServer = m_dependencies.state.servers().row(choice->server).entry.id;
    return choice;
}

void slow_answer_watch::logRepeat(
    const waiting_attempt& waiting, const placement_choice& choice, const request_id& request, time_point now) const
{
    if (!m_dependencies.failureLogBudget.take(now))
        return;
    const slow_answer_policy& policy = m_dependencies.slowAnswers;
    const duration usualDelay = policy.usualDelay(waiting).value_or(duration(0));
    m_dependencies.log.write(log_level::Info, "slow_answer_repeated",
        { { "request", request.text() }, { "service", waiting.service.text() }, { "model", waiting.model.text() },
            { "reason", waiting.waited < usualDelay ? "latency_objective" : "usual_delay" },
            { "waited_ms", toMilliseconds(waiting.waited) }, { "usual_delay_ms", toMilliseconds(usualDelay) },
            { "server", m_attempt.server.text() },
            { "to_server", m_dependencies.state.servers().row(choice.server).entry.id.text() },
            { "expected_wait_ms", toMilliseconds(policy.expectedWait(waiting, choice.wait)) } });
}

} // namespace pollen
