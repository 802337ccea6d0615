#pragma once

#include <fleet/server_table.h>
#include <relay/rollout_table.h>
#include <vector>

namespace pollen {

// Returns the servers of the new version that take the requests of its trial in the current window: as few as can carry
// them, so that a version that fails under load is detected. All daemons select the same servers, and each window has
// others, so that one faulty server does not decide the verdict on its version. Empty when no server of the version
// accepts work or when the requests are too few to load one.
std::vector<server_handle> trialServers(
    const server_table& servers, const service_name& service, const rollout_row& row, time_point now);

} // namespace pollen
