#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pollen {

// Counts of the answers of one version's servers.
struct version_answers {
    // Requests sent, answered or not.
    uint64_t sent = 0;
    // Completed answers.
    uint64_t good = 0;
    uint64_t bad = 0;
    // First bytes that have arrived or are overdue; those of them that were slow, including very slow ones; and those
    // that were very slow.
    uint64_t timed = 0;
    uint64_t slow = 0;
    uint64_t verySlow = 0;
    // Streams whose pace was measured; those of them that were slow, including very slow ones; and those that were very
    // slow.
    uint64_t paced = 0;
    uint64_t slowPaced = 0;
    uint64_t verySlowPaced = 0;

    uint64_t completed() const { return good + bad; }
    version_answers& operator+=(const version_answers& other);
    // other: must have been added before.
    version_answers& operator-=(const version_answers& other);

    friend bool operator==(const version_answers&, const version_answers&) = default;
};

// Answers on one route of a service whose roll-out is running.
struct route_answers {
    std::string route;
    version_answers target;
    version_answers others;

    friend bool operator==(const route_answers&, const route_answers&) = default;
};

// Answers of a new version and, over the same time, of the other versions of its service, counted by route because a
// version may fail on a single route.
class rollout_evidence {
public:
    // Route name for engine requests that a trial concentrates on a few servers; they are counted apart because a
    // version may fail only under load.
    static const std::string underLoad;

    rollout_evidence() = default;
    explicit rollout_evidence(std::vector<route_answers> routes);

    // Returns the row of the route. Beyond a limited number of routes, all others share one row.
    route_answers& at(const std::string& route);
    // Returns the sum over all routes, under an empty route name.
    route_answers total() const;
    const std::vector<route_answers>& routes() const { return m_routes; }

    rollout_evidence& operator+=(const rollout_evidence& other);
    // other: must have been added before.
    rollout_evidence& operator-=(const rollout_evidence& other);

    friend bool operator==(const rollout_evidence&, const rollout_evidence&) = default;

private:
    std::vector<route_answers> m_routes;
};

// One line for logs: for the total and for each route, requests sent, failed of all answers, slow and very slow of all
// first bytes, and slow and very slow of all streams, of the new version and of the others.
std::string toText(const rollout_evidence& evidence);

} // namespace pollen
