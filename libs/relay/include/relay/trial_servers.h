#pragma once

#include <fleet/server_table.h>
#include <relay/rollout_table.h>
#include <vector>

namespace pollen {

// Servers of the new version that take the requests of its trial at the row's turn: as few as can carry
// them, so that a version which fails under load shows it. All daemons choose the same ones, and each turn has
// others, so that one faulty server does not stand for its version. Empty when the version has none that takes work, or
// when the requests are too few to load one.
std::vector<server_handle> trialServers(
    const server_table& servers, const service_name& service, const rollout_row& row, time_point now);

} // namespace pollen
