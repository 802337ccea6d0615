#pragma once

#include <relay/memory_budget.h>
#include <string>
#include <string_view>

namespace pollen {

// A response that is buffered completely before it is passed on. Its memory comes from a budget shared by all such
// responses.
class answer_buffer {
public:
    explicit answer_buffer(memory_budget& budget)
        : m_budget(budget)
    {
    }
    ~answer_buffer() { clear(); }
    answer_buffer(const answer_buffer&) = delete;
    answer_buffer& operator=(const answer_buffer&) = delete;

    // Returns false and keeps none of the bytes if the response would be too large or the budget is used up.
    bool append(std::string_view bytes);

    // Releases the memory. An empty buffer may outlive its budget.
    void clear();

    const std::string& text() const { return m_text; }

private:
    memory_budget& m_budget;
    std::string m_text;
};

} // namespace pollen
