#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace pollen {

// Body of a request that is arriving. Its memory grows in large steps up to the announced length, so that a caller gets
// no more than a small multiple of what it has sent.
class request_body {
public:
    // Discards the body and frees its memory, which an assignment would keep. expectedBytes: the announced length of
    // the next one, or the largest body allowed.
    void restart(size_t expectedBytes)
    {
        m_expectedBytes = expectedBytes;
        std::string().swap(m_bytes);
    }

    size_t size() const { return m_bytes.size(); }
    size_t capacity() const { return m_bytes.capacity(); }

    // Memory needed once that many bytes have been appended.
    size_t capacityWith(size_t additional) const
    {
        const size_t needed = m_bytes.size() + additional;
        if (needed <= m_bytes.capacity())
            return m_bytes.capacity();
        return std::max(needed, std::min(std::max(smallestStep, needed * 2), m_expectedBytes));
    }

    void append(std::string_view bytes)
    {
        if (m_bytes.size() + bytes.size() > m_bytes.capacity()) {
            // std::string::reserve() would at least double the capacity.
            std::string grown;
            grown.reserve(capacityWith(bytes.size()));
            grown.append(m_bytes);
            m_bytes.swap(grown);
        }
        m_bytes.append(bytes);
    }

    std::string take() { return std::move(m_bytes); }

private:
    static constexpr size_t smallestStep = 2U << 10;

    size_t m_expectedBytes = 0;
    std::string m_bytes;
};

} // namespace pollen
