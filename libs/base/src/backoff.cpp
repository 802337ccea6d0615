#include <base/backoff.h>

#include <algorithm>

namespace pollen {

backoff::backoff(duration initial, duration maximum, random_source& random)
    : m_initial(initial)
    , m_maximum(maximum)
    , m_upperBound(initial)
    , m_random(random)
{
}

duration backoff::next()
{
    std::uniform_int_distribution<int64_t> distribution(m_upperBound.count() / 2, m_upperBound.count());
    const duration delay(distribution(m_random));
    m_upperBound = std::min(m_maximum, m_upperBound * 2);
    return delay;
}

} // namespace pollen
