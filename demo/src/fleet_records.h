#pragma once

#include "demo_plan.h"

#include <config/configuration_fold.h>
#include <cstdint>
#include <fleet/fleet_tables.h>
#include <map>
#include <string>
#include <vector>

namespace pollen {

// One piece of work that an engine stand-in accepted.
struct engine_work {
    std::string engine;
    std::string request;
    std::string version;
    std::string marker;
    int64_t startMilliseconds = 0;
};

// One call that a service stand-in ran.
struct service_work {
    std::string request;
    std::string key;
    std::string method;
};

struct billed {
    std::string id;
    std::string requestClass;
    double cost = 0;
};

// One configuration that was in force from a time on.
struct dated_configuration {
    log_offset version = 0;
    int64_t fromMilliseconds = 0;
    std::shared_ptr<const fleet_document> document;
};

// What the stand-ins of one fleet recorded.
struct fleet_records {
    std::vector<engine_work> engineWork;
    std::vector<service_work> serviceWork;
    std::vector<billed> bills;
    std::vector<dated_configuration> configurations;
};

// Asks every stand-in of the fleet for its records; throws system_error when one does not answer.
fleet_records fetchRecords(const planned_fleet& fleet);

} // namespace pollen
