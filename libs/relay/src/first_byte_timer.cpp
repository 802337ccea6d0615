#include <relay/first_byte_timer.h>

#include <algorithm>
#include <utility>

namespace pollen {

void first_byte_timer::start(const attempt& attempt, time_point now)
{
    m_attempt = attempt;
    m_sentAt = now;
    const auto verySlowThreshold = m_baseline.verySlowThreshold(kind(), attempt.unreadTokens);
    m_overdueAt = verySlowThreshold ? std::optional(now + *verySlowThreshold) : std::nullopt;
    m_running = true;
    m_counted = attempt.excluded;
}

void first_byte_timer::stop(time_point now)
{
    if (!std::exchange(m_running, false))
        return;
    const latency_grade grade = m_baseline.grade(kind(), now - m_sentAt, m_attempt.unreadTokens);
    if (!isOnTrial())
        m_baseline.count(kind(), now - m_sentAt, m_attempt.unreadTokens);
    if (std::exchange(m_counted, true))
        return;
    m_rollouts.countFirstByteAt(std::max(now, m_overdueAt.value_or(now)), m_attempt.subject, grade);
}

void first_byte_timer::tick(time_point now)
{
    if (!m_running || m_counted || !m_overdueAt || now < *m_overdueAt)
        return;
    m_counted = true;
    m_rollouts.countFirstByte(m_attempt.subject, latency_grade::VerySlow);
}

bool first_byte_timer::isOnTrial() const
{
    const rollout_row* row = m_table.find(m_attempt.subject.service);
    return row && row->state == rollout_state::Running && row->order.target == m_attempt.subject.version;
}

} // namespace pollen
