#pragma once

#include "load_request.h"

#include <vector>

namespace pollen {

// Latencies in milliseconds of the answered requests, and the number of those that failed.
struct open_load_result {
    std::vector<double> latencies;
    size_t failed = 0;
};

// Sends short plain requests at a fixed rate, each in turn to one of the targets, so that all of them meet the same
// moments of a noisy machine. rate: requests a second for each target.
std::vector<open_load_result> runOpenLoad(const std::vector<load_target>& targets, double rate, duration length);

} // namespace pollen
