#pragma once

#include <base/random_source.h>
#include <optional>
#include <string>
#include <vector>

namespace pollen {

// A kind of request that the demo's callers send.
struct request_kind {
    std::string name;
    // Relative frequency.
    int weight = 1;
    std::string team;
    // Empty for a service call.
    std::string requestClass;
    bool streaming = false;
    size_t promptWords = 0;
    size_t outputTokens = 0;
    // For a service call: method and path below /services/.
    std::string method;
    std::string path;
    bool inSession = false;
};

// The mix of requests of one deployment, by the name of its fleet.
std::vector<request_kind> workloadOf(const std::string& fleet);

// Draws a kind by weight.
const request_kind& drawKind(const std::vector<request_kind>& kinds, random_source& random);

} // namespace pollen
