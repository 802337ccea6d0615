#pragma once

#include <base/typed_id.h>
#include <cstdint>
#include <string>

namespace pollen {

// The charge for one request of a team. Two bills with the same id are the same bill.
struct bill {
    // The request's id, or a digest of team and idempotency key where the caller gave one.
    std::string id;
    request_id request;
    team_name team;
    class_name requestClass;
    // "model/version", or "service:NAME".
    std::string target;
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;
    // In the fleet's currency.
    double cost = 0;
    // Wall clock of the daemon that billed, milliseconds since the Unix epoch.
    int64_t timeMilliseconds = 0;

    friend bool operator==(const bill&, const bill&) = default;
};

} // namespace pollen
