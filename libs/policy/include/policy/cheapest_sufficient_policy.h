#pragma once

#include <policy/route_policy.h>

namespace pollen {

// Chooses the cheapest allowed version that is expected to meet the quality target within the deadline, and its server
// with the fewest outstanding requests. A session keeps its version while the team may use it and it is not withdrawn.
class cheapest_sufficient_policy final : public route_policy {
public:
    route_decision decide(
        const route_request& request, const fleet_tables& tables, time_point now, random_source& random) const override;
};

} // namespace pollen
