#pragma once

#include <base/clock.h>

namespace pollen {

// Decides when to find out whether a server that sends nothing can still be reached. One for each attempt.
class silence_watch {
public:
    // The request has been sent. wait: expected until the server begins to answer; left: until the deadline.
    void start(time_point now, duration wait, duration left);

    // The server has sent something.
    void hear(time_point now);

    // The server has been silent for long, and nobody is finding out.
    bool isDue(time_point now) const { return !m_asking && now >= m_due; }

    void ask() { m_asking = true; }

    // The server can be reached: it is slow, and silence may go on.
    void reachable(time_point now);

private:
    duration m_patience { 0 };
    time_point m_due = time_point::max();
    bool m_asking = false;
};

} // namespace pollen
