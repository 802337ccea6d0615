#pragma once

#include <base/clock.h>
#include <base/random_source.h>

namespace pollen {

// Exponential backoff with jitter for retries on the control path. Each call of next() doubles the upper bound, up to a
// maximum; the delay is drawn uniformly from the upper half of the range, so that daemons that failed at the same time
// do not retry at the same time.
class backoff {
public:
    backoff(duration initial, duration maximum, random_source& random);

    // Returns the delay before the next attempt and doubles the upper bound of the one after it.
    duration next();

    // Starts again from the initial delay; call after a successful attempt.
    void reset() { m_upperBound = m_initial; }

private:
    duration m_initial;
    duration m_maximum;
    duration m_upperBound;
    random_source& m_random;
};

} // namespace pollen
