#pragma once

#include <compare>
#include <cstdint>

namespace pollen {

// A position in a topic of the store. The store gives out offsets again after it has been restored from a copy, so only
// offsets of the same era can be compared.
struct log_position {
    // Counts the restores of the store; 0 if the store does not tell.
    uint64_t era = 0;
    uint64_t offset = 0;

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

} // namespace pollen
