#include <relay/first_byte_timer.h>

#include <utility>

namespace pollen {

namespace {

// First bytes that come sooner are not slow, however much sooner others come.
constexpr duration leastSlow = std::chrono::milliseconds(100);
// What the size of a request makes usual, to compare requests of different sizes by.
constexpr double readMillisecondsPerToken = 1.0 / 16;
constexpr double baseMilliseconds = 50;

} // namespace

void first_byte_timer::start(const attempt& attempt, time_point now)
{
    m_attempt = attempt;
    m_sent = now;
    m_running = true;
    m_counted = false;
}

void first_byte_timer::stop(time_point now)
{
    if (!std::exchange(m_running, false))
        return;
    const bool slow = isSlow(now);
    if (!isOnTrial())
        m_usual.count({ m_attempt.service.text(), m_attempt.model }, relativeLatency(now));
    if (!std::exchange(m_counted, true))
        m_rollouts.countFirstByte(m_attempt.service, m_attempt.version, slow);
}

void first_byte_timer::tick(time_point now)
{
    if (!m_running || m_counted || !isSlow(now))
        return;
    m_counted = true;
    m_rollouts.countFirstByte(m_attempt.service, m_attempt.version, true);
}

bool first_byte_timer::isOnTrial() const
{
    const rollout_row* row = m_table.find(m_attempt.service);
    return row && row->state == rollout_state::Running && row->order.target == m_attempt.version;
}

double first_byte_timer::relativeLatency(time_point now) const
{
    const double size = baseMilliseconds + m_attempt.promptTokens * readMillisecondsPerToken;
    return toSeconds(now - m_sent) * 1000 / size;
}

bool first_byte_timer::isSlow(time_point now) const
{
    return now - m_sent > leastSlow
        && m_usual.isSlow({ m_attempt.service.text(), m_attempt.model }, relativeLatency(now));
}

} // namespace pollen
