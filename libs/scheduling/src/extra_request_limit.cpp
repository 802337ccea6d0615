#include <scheduling/extra_request_limit.h>

namespace pollen {

namespace {

// With a share of 0.01, a daemon with two requests a second may send one extra request in this time. A longer window
// would allow more of them at once.
constexpr duration window = std::chrono::seconds(60);

int64_t slotNumber(time_point now, size_t slotCount)
{
    return now.time_since_epoch() / (window / static_cast<int64_t>(slotCount));
}

} // namespace

extra_request_limit::slot& extra_request_limit::currentSlot(const service_name& service, time_point now)
{
    const int64_t number = slotNumber(now, slotCount);
    slot& current = m_histories[service][static_cast<size_t>(number) % slotCount];
    if (current.number != number)
        current = { number, 0, 0 };
    return current;
}

void extra_request_limit::onRequest(const service_name& service, time_point now)
{
    ++currentSlot(service, now).requests;
}

bool extra_request_limit::allows(const service_name& service, time_point now) const
{
    const auto known = m_histories.find(service);
    if (known == m_histories.end())
        return false;
    const int64_t oldest = slotNumber(now, slotCount) - static_cast<int64_t>(slotCount) + 1;
    uint64_t requests = 0;
    uint64_t extraRequests = 0;
    for (const slot& past : known->second) {
        if (past.number < oldest)
            continue;
        requests += past.requests;
        extraRequests += past.extraRequests;
    }
    return static_cast<double>(extraRequests + 1) <= m_share * static_cast<double>(requests);
}

void extra_request_limit::onExtraRequest(const service_name& service, time_point now)
{
    ++currentSlot(service, now).extraRequests;
}

} // namespace pollen
