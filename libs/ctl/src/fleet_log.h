#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pollen {

// One line of a daemon's log.
struct fleet_log_line {
    int64_t milliseconds = 0;
    std::string daemon;
    std::string event;
    nlohmann::json fields;

    // A field as text; empty when the line has none of that name.
    std::string field(const std::string& name) const;
};

// The joined logs of any number of daemons, in order of time.
struct fleet_log {
    std::vector<fleet_log_line> lines;
    // Lines that hold an object which is not one of a log.
    size_t unreadable = 0;
};

// Reads JSON lines. Text before the first brace of a line, as collectors put it there, and lines without one are
// skipped.
fleet_log readFleetLog(std::istream& input);

// Why a request ended as its last line says, in words; empty when the line does not tell.
std::string causeOf(const fleet_log_line& ended);

} // namespace pollen
