#pragma once

#include <random>

namespace pollen {

// Random numbers for decisions and jitter; seeded by whoever constructs the daemon, so that tests repeat.
using random_source = std::mt19937_64;

} // namespace pollen
