#pragma once

#include <base/typed_id.h>
#include <deque>
#include <memory>
#include <optional>
#include <policy/route_decision.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollen {

// A routing decision with the fleet document that its handles refer to.
struct journal_decision {
    std::shared_ptr<const fleet_document> document;
    route_decision decision;
    // Empty when no server was chosen.
    instance_id server;
};

// One step in the processing of a request.
struct journal_step {
    // Wall clock, milliseconds since the Unix epoch.
    int64_t timeMilliseconds = 0;
    std::string event;
    std::string detail;
    std::optional<journal_decision> decision {};
};

// Keeps the processing steps of the most recent requests, for explanations to operators.
class decision_journal {
public:
    // capacity: number of requests kept.
    explicit decision_journal(size_t capacity);

    void add(const request_id& request, journal_step step);

    // Returns the steps of a request as one line of JSON; none if the request is unknown or no longer kept.
    std::optional<std::string> explain(const request_id& request) const;

private:
    size_t m_capacity;
    std::deque<request_id> m_order;
    std::unordered_map<request_id, std::vector<journal_step>> m_steps;
};

} // namespace pollen
