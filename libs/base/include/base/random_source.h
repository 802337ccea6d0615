#pragma once

#include <random>

namespace pollen {

// Random numbers for decisions and jitter. The code that constructs the daemon seeds it, so that tests are
// reproducible.
using random_source = std::mt19937_64;

} // namespace pollen
