#pragma once

#include <base/typed_id.h>
#include <cstddef>
#include <map>
#include <policy/retry_budget.h>

namespace pollen {

// This daemon's part of the repeats that the fleet may send to each service. The parts of all daemons add up to no more
// than the fleet's bound in any window, also while daemons restart: each earns repeats by its own requests to the
// service and saves up no more than its part of the slack.
class repeat_allowance {
public:
    // Repeats that the fleet may send to a service within a window: a share of the requests for it, and a slack.
    struct fleet_bound {
        double share = 0;
        double slack = 0;

        friend bool operator==(const fleet_bound&, const fleet_bound&) = default;
    };

    explicit repeat_allowance(fleet_bound bound)
        : m_bound(bound)
    {
    }

    // Daemons that the slack is divided among, this one included; 0 while that is not known.
    void setDaemons(size_t count);

    // A caller's request for the service is about to be sent.
    void onRequest(const service_name& service);

    // Takes one repeat; false when the part is spent.
    bool take(const service_name& service);

private:
    // Repeats that may be saved up for one service.
    double reserve() const;
    retry_budget& budget(const service_name& service);

    fleet_bound m_bound;
    size_t m_daemons = 0;
    std::map<service_name, retry_budget> m_budgets;
};

} // namespace pollen
