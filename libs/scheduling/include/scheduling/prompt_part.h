#pragma once

#include <cstdint>

namespace pollen {

// A section of a prompt that several requests may have in common.
struct prompt_part {
    uint64_t id = 0;
    uint32_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

} // namespace pollen
