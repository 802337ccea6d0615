#include <base/backoff.h>

#include <algorithm>

namespace pollen {

backoff::backoff(duration first, duration longest, random_source& random)
    : m_first(first)
    , m_longest(longest)
    , m_limit(first)
    , m_random(random)
{
}

duration backoff::next()
{
    std::uniform_int_distribution<int64_t> spread(m_limit.count() / 2, m_limit.count());
    const duration delay(spread(m_random));
    m_limit = std::min(m_longest, m_limit * 2);
    return delay;
}

} // namespace pollen
