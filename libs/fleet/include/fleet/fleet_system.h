#pragma once

#include <base/clock.h>

namespace pollen {

// Work that runs over the tables on each tick of the daemon's loop.
class fleet_system {
public:
    virtual ~fleet_system() = default;

    // now: the time of this tick. Must not block and must not throw.
    virtual void tick(time_point now) = 0;
};

} // namespace pollen
