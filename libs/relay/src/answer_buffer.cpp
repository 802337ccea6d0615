#include <relay/answer_buffer.h>

namespace pollen {

namespace {

// Larger responses must be streamed, which needs no buffer.
constexpr size_t maximumAnswerBytes = 4U << 20;

} // namespace

bool answer_buffer::append(std::string_view bytes)
{
    if (m_text.size() + bytes.size() > maximumAnswerBytes || !m_budget.take(bytes.size()))
        return false;
    m_text += bytes;
    return true;
}

void answer_buffer::clear()
{
    if (m_text.empty())
        return;
    m_budget.release(m_text.size());
    m_text.clear();
}

} // namespace pollen
