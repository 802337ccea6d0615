#include <relay/attempt_history.h>

#include <utility>

namespace pollen {

namespace {

std::string milliseconds(duration span) { return std::to_string(toMilliseconds(span)) + "ms"; }

} // namespace

void attempt_history::addAttempt(duration since, const instance_id& server, const model_name& model, duration wait)
{
    if (!m_text.empty())
        m_text += "; ";
    m_text += milliseconds(since) + " " + server.text();
    if (!model.empty())
        m_text += " " + model.text();
    m_text += " wait " + milliseconds(wait);
    m_open = true;
}

void attempt_history::endAttempt(duration since, const char* reason)
{
    if (!std::exchange(m_open, false))
        return;
    m_text += std::string(": ") + reason + " at " + milliseconds(since);
}

} // namespace pollen
