#include <relay/first_byte_timer.h>

#include <utility>

namespace pollen {

void first_byte_timer::start(const attempt& attempt, time_point now)
{
    m_attempt = attempt;
    m_sent = now;
    m_running = true;
    m_counted = {};
}

void first_byte_timer::stop(time_point now)
{
    if (!std::exchange(m_running, false))
        return;
    const latency_grade grade = gradeAt(now);
    if (!isOnTrial())
        m_usual.count(kind(), now - m_sent, m_attempt.unreadTokens);
    countAs(grade);
}

void first_byte_timer::tick(time_point now)
{
    if (!m_running)
        return;
    const latency_grade grade = gradeAt(now);
    if (grade != latency_grade::Usual)
        countAs(grade);
}

void first_byte_timer::countAs(latency_grade grade)
{
    if (m_attempt.unusual || (m_counted && *m_counted >= grade))
        return;
    if (m_counted)
        m_rollouts.raiseToVerySlow(m_attempt.subject);
    else
        m_rollouts.countFirstByte(m_attempt.subject, grade);
    m_counted = grade;
}

bool first_byte_timer::isOnTrial() const
{
    const rollout_row* row = m_table.find(m_attempt.subject.service);
    return row && row->state == rollout_state::Running && row->order.target == m_attempt.subject.version;
}

latency_grade first_byte_timer::gradeAt(time_point now) const
{
    return m_usual.grade(kind(), now - m_sent, m_attempt.unreadTokens);
}

} // namespace pollen
