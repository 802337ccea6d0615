#pragma once

#include <base/random_source.h>
#include <fleet/fleet_system.h>
#include <map>
#include <memory>
#include <platform/rating_service.h>

namespace pollen {

// Ratings of one model version for one request class.
struct rating_summary {
    uint64_t count = 0;
    double sum = 0;

    double mean() const { return count == 0 ? 0 : sum / static_cast<double>(count); }

    friend bool operator==(const rating_summary&, const rating_summary&) = default;
};

// Submits a bounded sample of the answers to the rating service and aggregates the ratings of the whole fleet.
class rating_system final : public fleet_system {
public:
    rating_system(rating_service& service, random_source& random);

    // Decides at random whether to submit the next answer: one in twenty, up to a limit per second.
    bool shouldSample(time_point now);
    void submit(const rating_sample& sample) { m_service.submit(sample); }

    void tick(time_point now) override;

    using rated_version = std::pair<version_ref, class_name>;
    const std::map<rated_version, rating_summary>& summaries() const { return m_summaries; }

private:
    rating_service& m_service;
    random_source& m_random;
    std::map<rated_version, rating_summary> m_summaries;
    uint64_t m_nextNumber = 1;
    time_point m_nextRead {};
    bool m_reading = false;
    time_point m_secondStart {};
    uint32_t m_samplesInSecond = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace pollen
