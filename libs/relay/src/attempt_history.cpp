#include <relay/attempt_history.h>

#include <utility>

namespace pollen {

namespace {

std::string milliseconds(duration time) { return std::to_string(toMilliseconds(time)) + "ms"; }

} // namespace

void attempt_history::addAttempt(
    duration elapsed, const instance_id& server, const model_name& model, duration expectedWait)
{
    if (!m_text.empty())
        m_text += "; ";
    m_text += milliseconds(elapsed) + " " + server.text();
    if (!model.empty())
        m_text += " " + model.text();
    m_text += " wait " + milliseconds(expectedWait);
    m_isAttemptOpen = true;
}

void attempt_history::endAttempt(duration elapsed, const char* reason)
{
    if (!std::exchange(m_isAttemptOpen, false))
        return;
    m_text += std::string(": ") + reason + " at " + milliseconds(elapsed);
}

} // namespace pollen
