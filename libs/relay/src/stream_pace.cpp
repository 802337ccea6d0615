#include <relay/stream_pace.h>

#include <utility>

namespace pollen {

void stream_pace::addEvents(size_t count, time_point now)
{
    if (count == 0)
        return;
    m_last = now;
    if (std::exchange(m_started, true))
        m_events += count;
    else
        m_first = now;
}

std::optional<duration> stream_pace::interval() const
{
    if (m_events == 0)
        return std::nullopt;
    return elapsed() / static_cast<int64_t>(m_events);
}

} // namespace pollen
