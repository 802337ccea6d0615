#pragma once

#include <array>
#include <base/clock.h>
#include <base/typed_id.h>
#include <cstddef>
#include <cstdint>
#include <map>

namespace pollen {

// The operators' limit on requests that a daemon sends in addition, as a share of its own requests to each service in
// the last minute. Without a slack for each daemon, the sum over any number of daemons is within the same share of the
// sum of their requests, also while daemons start, stop or cannot reach each other.
class extra_request_limit {
public:
    // share: 0 to 1; 0 allows none.
    explicit extra_request_limit(double share)
        : m_share(share)
    {
    }

    double share() const { return m_share; }

    // A caller's request to the service.
    void onRequest(const service_name& service, time_point now);
    // Whether a further extra request is within the limit.
    bool allows(const service_name& service, time_point now) const;
    // An extra request is sent.
    void onExtraRequest(const service_name& service, time_point now);

private:
    static constexpr size_t slotCount = 12;
    // Counters for one part of the window.
    struct slot {
        int64_t number = 0;
        uint32_t requests = 0;
        uint32_t extraRequests = 0;
    };
    using history = std::array<slot, slotCount>;

    slot& currentSlot(const service_name& service, time_point now);

    double m_share;
    std::map<service_name, history> m_histories;
};

} // namespace pollen
