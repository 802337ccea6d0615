#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <string>

namespace pollen {

// Describes the attempts of one request as text for the log: time, server, expected wait, and how each ended.
class attempt_history {
public:
    // elapsed: time since the request arrived. model: empty if the caller named it. expectedWait: expected time until
    // the first byte.
    void addAttempt(duration elapsed, const instance_id& server, const model_name& model, duration expectedWait);

    // Ends the last attempt. Only the first reason is kept.
    void endAttempt(duration elapsed, const char* reason);

    // Such as "3ms i-1 small wait 20ms: escalated at 40ms; 40ms i-1 large wait 300ms: timed_out at 6000ms".
    const std::string& text() const { return m_text; }

private:
    std::string m_text;
    bool m_isAttemptOpen = false;
};

} // namespace pollen
