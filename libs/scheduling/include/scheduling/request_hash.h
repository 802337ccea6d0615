#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace pollen {

// seed: the hash of the preceding text.
inline uint64_t hashOf(std::string_view text, uint64_t seed = 0) { return XXH64(text.data(), text.size(), seed); }

// Maps a hash to [0, 1), identically in every daemon.
inline double toUnitInterval(uint64_t hash)
{
    return static_cast<double>(hash >> 11) / static_cast<double>(uint64_t { 1 } << 53);
}

} // namespace pollen
