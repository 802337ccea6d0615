#pragma once

#include <base/random_source.h>
#include <policy/route_decision.h>

namespace pollen {

// Decides where a request goes. A pure function of its arguments: no input or output, no clock of its own.
class route_policy {
public:
    virtual ~route_policy() = default;

    // tables must have a document in force.
    virtual route_decision decide(
        const route_request& request, const fleet_tables& tables, time_point now, random_source& random) const = 0;
};

// Chooses the server with the least outstanding work, ties by chance. Servers in the list that do not take work or
// are excluded do not count. Returns none when nothing is left.
std::optional<server_handle> leastOutstanding(const std::vector<server_handle>& servers, const server_table& table,
    const std::vector<server_handle>& excluded, time_point now, random_source& random);

} // namespace pollen
