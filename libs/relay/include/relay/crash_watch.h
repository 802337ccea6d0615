#pragma once

#include <base/clock.h>
#include <unordered_map>

namespace pollen {

// Counts how often servers have gone down while they ran the same request.
class crash_watch {
public:
    // The connection of a server that ran the request broke, and nothing listened there any more or it was reset.
    void countBreak(uint64_t fingerprint, time_point now);

    // Breaks counted for the request.
    uint32_t breaks(uint64_t fingerprint) const;

    // The request has broken so many servers that it is not sent to another one.
    bool isSuspect(uint64_t fingerprint, time_point now) const;

    void sweep(time_point now);

private:
    struct entry {
        uint32_t breaks = 0;
        time_point last;
    };

    std::unordered_map<uint64_t, entry> m_entries;
};

} // namespace pollen
