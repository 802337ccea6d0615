#pragma once

#include <array>
#include <base/clock.h>
#include <base/typed_id.h>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <map>

namespace pollen {

// This daemon's part of the retries that the fleet may send to each service. A retry is a request sent again after it
// had reached a server. The parts of all daemons add up to no more than the fleet's limit in any window, even while
// daemons restart: within half a window each daemon retries at most a share of its own requests to the service plus its
// part of the slack.
class fleet_retry_budget {
public:
    // Retries that the fleet may send to a service within a window: a share of the requests to it, plus a fixed slack.
    struct fleet_limit {
        double share = 0;
        double slack = 0;
        duration window = std::chrono::seconds(10);

        friend bool operator==(const fleet_limit&, const fleet_limit&) = default;
    };

    explicit fleet_retry_budget(fleet_limit limit)
        : m_limit(limit)
    {
        assert(limit.window > duration(0));
    }

    // Number of daemons that share the slack, including this one; 0 if unknown.
    void setDaemonCount(size_t count) { m_daemonCount = count; }

    // Called before a caller's request is first sent to the service.
    void onRequest(const service_name& service, time_point now);

    // Consumes one retry; returns false if this daemon's part is used up.
    bool take(const service_name& service, time_point now);

private:
    static constexpr size_t slotCount = 10;
    // Counters for one tenth of half a window.
    struct slot {
        int64_t number = 0;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };
    using history = std::array<slot, slotCount>;

    int64_t slotNumber(time_point now) const;
    slot& currentSlot(const service_name& service, time_point now);
    // Retries allowed in addition to the share of the requests.
    double ownSlack() const;

    fleet_limit m_limit;
    size_t m_daemonCount = 0;
    std::map<service_name, history> m_histories;
};

} // namespace pollen
