#pragma once

#include <base/clock.h>

namespace pollen {

// Decides when to probe a server that has stopped sending. One instance per attempt.
class stall_detector {
public:
    // The request has been sent. expectedWait: expected time until the first byte; timeLeft: time until the deadline.
    void start(time_point now, duration expectedWait, duration timeLeft);

    // The server has sent bytes.
    void onActivity(time_point now);

    // The server has been inactive for longer than the time-out, and no probe is in progress.
    bool isProbeDue(time_point now) const { return !m_isProbing && now >= m_due; }

    void onProbeStarted() { m_isProbing = true; }

    // The probe succeeded: the server is slow, so the next probe comes after a longer time-out.
    void onReachable(time_point now);

private:
    duration m_timeout { 0 };
    time_point m_due = time_point::max();
    bool m_isProbing = false;
};

} // namespace pollen
