#pragma once

#include "demo_load.h"
#include "fleet_records.h"

#include <ostream>

namespace pollen {

// Something that was done to a fleet while the load ran.
struct demo_event {
    std::string name;
    int64_t timeMilliseconds = 0;
    std::string subject;
};

// Reads lines "NAME MILLISECONDS SUBJECT".
std::vector<demo_event> readEvents(const std::string& path);

// Prints the report. Returns true when every promise held.
bool printReport(const std::vector<planned_fleet>& plan, const load_result& load, const std::vector<demo_event>& events,
    std::ostream& out);

} // namespace pollen
