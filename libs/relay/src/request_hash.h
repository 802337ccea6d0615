#pragma once

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace pollen {

inline uint64_t hashOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

// As it stands in log lines and in the store.
inline std::string fingerprintText(uint64_t fingerprint)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

// A number from 0 up to 1 that is the same for the same hash in every daemon.
inline double pointOf(uint64_t hash)
{
    return static_cast<double>(hash >> 11) / static_cast<double>(uint64_t { 1 } << 53);
}

} // namespace pollen
