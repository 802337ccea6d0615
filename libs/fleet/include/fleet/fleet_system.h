#pragma once

#include <base/clock.h>

namespace pollen {

// A periodic task over the fleet tables, run on each tick of the daemon's event loop.
class fleet_system {
public:
    virtual ~fleet_system() = default;

    // now: time of this tick. Must neither block nor throw.
    virtual void tick(time_point now) = 0;
};

} // namespace pollen
