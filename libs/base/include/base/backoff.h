#pragma once

#include <base/clock.h>
#include <base/random_source.h>

namespace pollen {

// Delays between retries of the control path: each failure doubles the limit, and the delay is drawn evenly from the
// upper half of it, so that daemons that failed together do not return together.
class backoff {
public:
    backoff(duration initial, duration maximum, random_source& random);

    // Delay before the next attempt.
    duration next();

    // The last attempt succeeded.
    void reset() { m_upperBound = m_initial; }

private:
    duration m_initial;
    duration m_maximum;
    duration m_upperBound;
    random_source& m_random;
};

} // namespace pollen
