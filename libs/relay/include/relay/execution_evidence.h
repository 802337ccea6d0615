#pragma once

#include <cstddef>

namespace pollen {

// What shows that no server has run a request and none will. Every attempt counts as one that may run from the moment
// it is made; only the calls that give evidence to the contrary take that back. A cancelled, timed-out or broken
// attempt therefore needs no call.
class execution_evidence {
public:
    // An attempt is made. Ends the one before, which keeps counting unless there was evidence.
    void beginAttempt()
    {
        ++m_unsettledAttempts;
        m_isCurrentSettled = false;
    }

    // The HTTP client has written no byte of the current attempt.
    void attemptWasNotSent() { settle(); }

    // The server that the current attempt was sent to has stated, for this very request, that it has not run it.
    void attemptWasRefused() { settle(); }

    // Some server may have run the request, or may run it yet.
    bool mayHaveRun() const { return m_unsettledAttempts > 0; }

private:
    void settle()
    {
        if (m_isCurrentSettled)
            return;
        m_isCurrentSettled = true;
        --m_unsettledAttempts;
    }

    size_t m_unsettledAttempts = 0;
    bool m_isCurrentSettled = true;
};

} // namespace pollen
