#pragma once

#include <relay/memory_budget.h>
#include <string>
#include <string_view>

namespace pollen {

// An answer that is passed on as a whole, with memory out of a budget that all such answers share.
class answer_buffer {
public:
    explicit answer_buffer(memory_budget& budget)
        : m_budget(budget)
    {
    }
    ~answer_buffer() { clear(); }
    answer_buffer(const answer_buffer&) = delete;
    answer_buffer& operator=(const answer_buffer&) = delete;

    // False, and nothing kept of the bytes, when the answer would be too large or the budget is spent.
    bool append(std::string_view bytes);

    // Gives the memory back. An empty buffer may outlive its budget.
    void clear();

    const std::string& text() const { return m_text; }

private:
    memory_budget& m_budget;
    std::string m_text;
};

} // namespace pollen
