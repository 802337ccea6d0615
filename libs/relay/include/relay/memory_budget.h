#pragma once

#include <cassert>
#include <cstddef>

namespace pollen {

// Memory that many holders share.
class memory_budget {
public:
    explicit memory_budget(size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    // False, and nothing taken, when the budget does not have so many bytes left.
    bool take(size_t bytes)
    {
        if (bytes > m_limitBytes - m_usedBytes)
            return false;
        m_usedBytes += bytes;
        return true;
    }

    void release(size_t bytes)
    {
        assert(bytes <= m_usedBytes);
        m_usedBytes -= bytes;
    }

    size_t usedBytes() const { return m_usedBytes; }

private:
    size_t m_limitBytes;
    size_t m_usedBytes = 0;
};

} // namespace pollen
