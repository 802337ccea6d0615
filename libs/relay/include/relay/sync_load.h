#pragma once

#include <base/clock.h>
#include <cstddef>
#include <cstdint>

namespace pollen {

// What answering the requests of other daemons for the fleet state has cost over an interval.
struct sync_load {
    uint64_t requests = 0;
    size_t requestBytes = 0;
    size_t replyBytes = 0;
    // Time spent on the changes of the topics, on the counts of roll-outs, on the pending work of the group, and on
    // encoding and decoding.
    duration changes { 0 };
    duration totals { 0 };
    duration work { 0 };
    duration coding { 0 };

    friend bool operator==(const sync_load&, const sync_load&) = default;
};

} // namespace pollen
