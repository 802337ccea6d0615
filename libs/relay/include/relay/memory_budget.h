#pragma once

#include <cassert>
#include <cstddef>

namespace pollen {

// Memory that many holders share.
class memory_budget {
public:
    explicit memory_budget(size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    // False, and nothing taken, when the budget does not have so many bytes left.
    bool take(size_t bytes)
    {
        if (bytes > m_limit - m_used)
            return false;
        m_used += bytes;
        return true;
    }

    void release(size_t bytes)
    {
        assert(bytes <= m_used);
        m_used -= bytes;
    }

    size_t used() const { return m_used; }

private:
    size_t m_limit;
    size_t m_used = 0;
};

} // namespace pollen
