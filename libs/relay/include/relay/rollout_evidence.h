#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pollen {

// Answers of one version's servers.
struct version_answers {
    // Requests sent, whether they have been answered or not.
    uint64_t sent = 0;
    // Answers that have ended.
    uint64_t good = 0;
    uint64_t bad = 0;
    // First bytes that have come or are overdue; those of them that took longer than most, and those that took several
    // times as long.
    uint64_t timed = 0;
    uint64_t slow = 0;
    uint64_t verySlow = 0;

    uint64_t completed() const { return good + bad; }
    version_answers& operator+=(const version_answers& other);

    friend bool operator==(const version_answers&, const version_answers&) = default;
};

// Answers on one route of a service whose roll-out is running.
struct route_answers {
    std::string route;
    version_answers target;
    version_answers others;

    friend bool operator==(const route_answers&, const route_answers&) = default;
};

// What has been seen of a new version and, in the same time, of the other versions of its service, by route: a version
// may be bad on one route alone.
class rollout_evidence {
public:
    // Stands for the routes of engines while a trial loads a few of them: a version may be bad under load alone.
    static const std::string underLoad;

    rollout_evidence() = default;
    explicit rollout_evidence(std::vector<route_answers> routes);

    // The row of the route. Beyond a number of routes, the others share one row.
    route_answers& at(const std::string& route);
    // The row of all routes together, under no name.
    route_answers total() const;
    const std::vector<route_answers>& routes() const { return m_routes; }

    rollout_evidence& operator+=(const rollout_evidence& other);

    friend bool operator==(const rollout_evidence&, const rollout_evidence&) = default;

private:
    std::vector<route_answers> m_routes;
};

// One line for logs: of all routes and of each, requests sent, bad of all answers, slow and very slow of all first
// bytes, of the new version and of the others.
std::string toText(const rollout_evidence& evidence);

} // namespace pollen
