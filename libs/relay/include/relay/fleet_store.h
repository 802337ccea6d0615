#pragma once

#include <functional>
#include <relay/rollout.h>

namespace pollen {

// Where the daemons of a fleet write what all of them have to know.
class fleet_store {
public:
    virtual ~fleet_store() = default;

    // Publishes a state unless another daemon has published one that this daemon has not read yet. Reports true once
    // the state is known to be stored.
    using publish_callback = std::function<void(bool stored)>;
    virtual void publishRollout(const rollout_status& status, publish_callback callback) = 0;

    // Publishes a report; it may be lost.
    virtual void publishReport(const rollout_report& report) = 0;

    // Reports are read only while they are wanted.
    virtual void followReports(bool wanted) = 0;
};

} // namespace pollen
