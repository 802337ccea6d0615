#include <http/connection_limits.h>

#include <algorithm>
#include <http/connection_budget.h>

namespace pollen {

namespace {

// Descriptors that are not for callers: files, and connections to the store, to other daemons and for probes.
constexpr size_t descriptorsForFiles = 200;
constexpr size_t descriptorsForFleet = 256;
// A request needs a descriptor for its caller and one for its server.
constexpr size_t descriptorsPerRequest = 2;
constexpr size_t minimumConnections = 16;

// Shares of the memory. On the smallest machine (88 MB) they leave 47 MB, of which 32 MB are the limits for responses
// of servers and for the states of other daemons, and 8 MB the program itself.
constexpr size_t connectionShare = 8;
constexpr size_t requestShare = 4;
constexpr size_t responseShare = 12;
// Memory of a connection without a request: its objects and buffers.
constexpr size_t emptyConnectionBytes = 4U << 10;
// Largest head of a request together with its container.
constexpr size_t largestHeadBytes = 64U << 10;

// Readiness and metrics: checks of a balancer and a few scrapers. Their descriptors are among descriptorsForFleet.
constexpr size_t monitoringConnections = 16;
// Requests have no body, and the first bytes of each are part of its connection.
constexpr size_t monitoringRequestBytes = 256U << 10;
// 3.7 MiB on the smallest machine; the size of the metrics of a large site has not been measured.
constexpr size_t monitoringResponseShare = 24;

} // namespace

connection_limits deriveConnectionLimits(size_t memoryBytes, size_t descriptors, size_t maximumBodyBytes)
{
    const size_t reserved = descriptorsForFiles + descriptorsForFleet;
    const size_t byDescriptors = descriptors > reserved ? (descriptors - reserved) / descriptorsPerRequest : 0;
    const size_t byMemory = memoryBytes / connectionShare / (emptyConnectionBytes + connection_budget::includedBytes);
    const size_t largestRequest = (maximumBodyBytes + largestHeadBytes) * copiesOfRunningRequest;
    // Large requests may use three quarters of the bytes.
    const size_t requestBytes = std::max(memoryBytes / requestShare, largestRequest + largestRequest / 3 + 1);
    return { std::max(minimumConnections, std::min(byDescriptors, byMemory)), requestBytes,
        memoryBytes / responseShare };
}

connection_limits deriveMonitoringLimits(size_t memoryBytes)
{
    return { monitoringConnections, monitoringRequestBytes, memoryBytes / monitoringResponseShare };
}

} // namespace pollen
