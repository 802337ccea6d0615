#pragma once

#include <base/typed_id.h>
#include <cstdint>
#include <vector>

namespace pollen {

// Requests sent to one server that have not shown a sign of progress yet.
struct server_work {
    instance_id server;
    uint32_t requests = 0;
    uint64_t unreadTokens = 0;

    friend bool operator==(const server_work&, const server_work&) = default;
};

// How far a daemon knows the pending work of a group.
struct work_state {
    // Random number of the sum; 0 if none is known. Changes of another sum say nothing.
    uint64_t sum = 0;
    // Changes of the sum up to and including this one are known.
    uint64_t change = 0;

    friend bool operator==(const work_state&, const work_state&) = default;
};

// Changes of the pending work of a group. Servers without work are listed with zeros.
struct work_change {
    // All servers that are not listed have no work.
    bool isComplete = false;
    work_state state;
    std::vector<server_work> work;

    friend bool operator==(const work_change&, const work_change&) = default;
};

} // namespace pollen
