#pragma once

#include <vector>

namespace pollen {

// The value below which the share (0 to 1) of the values lies; 0 when there are none.
double percentile(std::vector<double> values, double share);

} // namespace pollen
