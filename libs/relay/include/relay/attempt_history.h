#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <string>

namespace pollen {

// What was tried for one request, as text for the log: when, where, with which expectation, and how it ended.
class attempt_history {
public:
    // elapsed: time elapsed the request arrived. model: empty when the caller has named it. expectedWait: expected until the server
    // begins to answer.
    void addAttempt(duration elapsed, const instance_id& server, const model_name& model, duration expectedWait);

    // The last attempt ended. Only the first reason is kept.
    void endAttempt(duration elapsed, const char* reason);

    // Such as "3ms i-1 small expectedWait 20ms: escalated at 40ms; 40ms i-1 large expectedWait 300ms: timed_out at 6000ms".
    const std::string& text() const { return m_text; }

private:
    std::string m_text;
    bool m_isAttemptOpen = false;
};

} // namespace pollen
