#pragma once

#include <policy/route_policy.h>

namespace pollen {

// Chooses the cheapest allowed version that is expected to meet the quality target in time, and its server with the
// least outstanding work. A session keeps its version while that version may still be used.
class cheapest_sufficient_policy final : public route_policy {
public:
    route_decision decide(
        const route_request& request, const fleet_tables& tables, time_point now, random_source& random) const override;
};

} // namespace pollen
