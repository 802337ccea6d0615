#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace pollen {

// Learns for each kind of request the latency, against its size, that four of five stay below.
class usual_latency {
public:
    // By name of the service and index of the model.
    using kind = std::pair<std::string, size_t>;

    // relative: latency in milliseconds divided by what the size of the request makes usual.
    bool isSlow(const kind& kind, double relative) const;
    void count(const kind& kind, double relative);

private:
    std::map<kind, double> m_bounds;
};

} // namespace pollen
