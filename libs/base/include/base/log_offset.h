#pragma once

#include <cstdint>

namespace pollen {

// Position of a record in a stream of the platform's log; the first record has offset 1.
using log_offset = uint64_t;

} // namespace pollen
