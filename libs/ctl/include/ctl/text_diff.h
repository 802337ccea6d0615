#pragma once

#include <string>
#include <vector>

namespace pollen {

// Lines that differ between two texts, in order: "-LINE" only in the first, "+LINE" only in the second.
std::vector<std::string> diffLines(const std::string& before, const std::string& after);

} // namespace pollen
