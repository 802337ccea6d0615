#pragma once

#include "simulated_caller.h"

namespace pollen {

struct load_options {
    duration length = std::chrono::seconds(20);
    // Mean requests a second for each fleet.
    double rate = 60;
    uint64_t seed = 1;
};

struct load_result {
    std::vector<caller_record> records;
    std::vector<version_sighting> sightings;
};

// Sends the workload of every fleet of the plan, and waits until every request has ended.
load_result runLoad(const std::vector<planned_fleet>& plan, const load_options& options);

// Stores a result as JSON, and reads it again.
void writeLoadResult(const load_result& result, const std::string& path);
load_result readLoadResult(const std::string& path);

} // namespace pollen
