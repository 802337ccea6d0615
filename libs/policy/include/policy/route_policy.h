#pragma once

#include <base/random_source.h>
#include <policy/route_decision.h>

namespace pollen {

// Decides which version and server handle a request. Depends only on its arguments: does no I/O and reads no clock.
class route_policy {
public:
    virtual ~route_policy() = default;

    // A document must have been installed in tables.
    virtual route_decision decide(
        const route_request& request, const fleet_tables& tables, time_point now, random_source& random) const = 0;
};

// Returns the available server with the fewest outstanding requests that is not excluded; ties are broken at random.
// Returns nothing if there is none.
std::optional<server_handle> leastOutstanding(const std::vector<server_handle>& servers, const server_table& table,
    const std::vector<server_handle>& excluded, time_point now, random_source& random);

} // namespace pollen
