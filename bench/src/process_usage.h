#pragma once

#include <cstddef>

namespace pollen {

// Memory of a process that is in use now, in bytes; 0 when it does not run.
size_t residentBytes(int processId);

// Processor time that a process has used so far, in seconds.
double processorSeconds(int processId);

} // namespace pollen
