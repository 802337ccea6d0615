#pragma once

#include <base/clock.h>

namespace pollen {

// Decides when to find out whether a server that sends nothing can still be reached. One for each attempt.
class stall_detector {
public:
    // The request has been sent. expectedWait: expected until the server begins to answer; timeLeft: until the deadline.
    void start(time_point now, duration expectedWait, duration timeLeft);

    // The server has sent something.
    void onActivity(time_point now);

    // The server has been silent for long, and nobody is finding out.
    bool isProbeDue(time_point now) const { return !m_isProbing && now >= m_due; }

    void onProbeStarted() { m_isProbing = true; }

    // The server can be reached: it is slow, and silence may go on.
    void onReachable(time_point now);

private:
    duration m_timeout { 0 };
    time_point m_due = time_point::max();
    bool m_isProbing = false;
};

} // namespace pollen
