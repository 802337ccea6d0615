#pragma once

#include <relay/memory_budget.h>

namespace pollen {

// Bytes of a budget that one holder has taken. An empty reservation may outlive its budget.
class memory_reservation {
public:
    explicit memory_reservation(memory_budget& budget)
        : m_budget(budget)
    {
    }
    ~memory_reservation() { resize(0); }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    // Returns false and keeps the size if the budget does not have the bytes that are missing.
    bool resize(size_t bytes)
    {
        if (bytes > m_bytes && !m_budget.take(bytes - m_bytes))
            return false;
        if (bytes < m_bytes)
            m_budget.release(m_bytes - bytes);
        m_bytes = bytes;
        return true;
    }

private:
    memory_budget& m_budget;
    size_t m_bytes = 0;
};

} // namespace pollen
