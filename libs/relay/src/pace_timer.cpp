#include <relay/pace_timer.h>

#include <utility>

namespace pollen {

void pace_timer::start(const rollout_subject& subject, size_t model, bool excluded)
{
    m_subject = subject;
    m_model = model;
    m_excluded = excluded;
    m_counted = false;
    m_pace = {};
}

void pace_timer::addEvents(size_t count, time_point now)
{
    m_pace.addEvents(count, now);
    // Counted as early as possible: the slowest streams would otherwise end after the verdict.
    if (m_pace.isMeasured())
        this->count();
}

void pace_timer::stop() { count(); }

void pace_timer::count()
{
    const auto interval = m_pace.median();
    if (!interval || std::exchange(m_counted, true))
        return;
    const pace_baseline::kind kind { m_subject.service.text(), m_model };
    const std::optional<latency_grade> grade = m_baseline.grade(kind, *interval);
    if (grade && !m_excluded)
        m_rollouts.countPace(m_subject, *grade);
    if (!m_table.isOnTrial(m_subject.service, m_subject.version))
        m_baseline.count(kind, *interval);
}

} // namespace pollen
