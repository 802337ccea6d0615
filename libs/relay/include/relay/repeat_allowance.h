#pragma once

#include <array>
#include <base/clock.h>
#include <base/typed_id.h>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <map>

namespace pollen {

// This daemon's part of the repeats that the fleet may send to each service. The parts of all daemons add up to no more
// than the fleet's bound in any of its windows, also while daemons restart: within half a window each repeats a share
// of its own requests to the service and its part of the slack.
class repeat_allowance {
public:
    // Repeats that the fleet may send to a service within a window: a share of the requests for it, and a slack.
    struct fleet_bound {
        double share = 0;
        double slack = 0;
        duration window = std::chrono::seconds(10);

        friend bool operator==(const fleet_bound&, const fleet_bound&) = default;
    };

    explicit repeat_allowance(fleet_bound bound)
        : m_bound(bound)
    {
        assert(bound.window > duration(0));
    }

    // Daemons that the slack is divided among, this one included; 0 while that is not known.
    void setDaemons(size_t count) { m_daemons = count; }

    // A caller's request for the service is about to be sent.
    void onRequest(const service_name& service, time_point now);

    // Takes one repeat; false when the part is spent.
    bool take(const service_name& service, time_point now);

private:
    static constexpr size_t slotsOfHistory = 10;
    // A tenth of half a window.
    struct slot {
        int64_t number = 0;
        uint32_t requests = 0;
        uint32_t repeats = 0;
    };
    using history = std::array<slot, slotsOfHistory>;

    int64_t slotNumber(time_point now) const;
    slot& currentSlot(const service_name& service, time_point now);
    // Repeats beyond the share of the requests.
    double ownSlack() const;

    fleet_bound m_bound;
    size_t m_daemons = 0;
    std::map<service_name, history> m_histories;
};

} // namespace pollen
