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
    if (!m_table.isOnTrial(m_attempt.subject.service, m_attempt.subject.version))
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

} // namespace pollen
