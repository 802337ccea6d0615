#include <relay/answer_buffer.h>

#include <algorithm>

namespace pollen {

namespace {

// Larger responses must be streamed, which needs no buffer.
constexpr size_t maximumAnswerBytes = 4U << 20;
// The budget counts the text and not its memory, so that the memory grows by a quarter instead of doubling.
constexpr size_t growthDivisor = 4;
constexpr size_t smallestStep = 1U << 10;

} // namespace

bool answer_buffer::append(std::string_view bytes)
{
    if (m_text.size() + bytes.size() > maximumAnswerBytes || !m_budget.take(bytes.size()))
        return false;
    const size_t needed = m_text.size() + bytes.size();
    if (needed > m_text.capacity()) {
        std::string grown;
        grown.reserve(std::min(needed + std::max(needed / growthDivisor, smallestStep), maximumAnswerBytes));
        grown.append(m_text);
        m_text.swap(grown);
    }
    m_text += bytes;
    return true;
}

void answer_buffer::clear()
{
    if (m_text.empty())
        return;
    m_budget.release(m_text.size());
    // clear() would keep the memory, which the budget does not count any more.
    std::string().swap(m_text);
}

} // namespace pollen
