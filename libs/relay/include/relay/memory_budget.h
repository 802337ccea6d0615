#pragma once

#include <cassert>
#include <cstddef>

namespace pollen {

// Memory limit shared by many holders.
class memory_budget {
public:
    explicit memory_budget(size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    // Returns false and reserves nothing if fewer bytes are left.
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
