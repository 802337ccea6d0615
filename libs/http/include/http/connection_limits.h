#pragma once

#include <cstddef>

namespace pollen {

// Limits over all connections that a process has accepted, on all its listeners.
struct connection_limits {
    size_t maximumConnections = 0;
    // Bytes held for requests: unparsed input, heads and bodies, and their copies while the requests run.
    size_t requestBytes = 0;
    // Bytes of responses that callers have not read.
    size_t responseBytes = 0;

    friend bool operator==(const connection_limits&, const connection_limits&) = default;
};

// Copies of a request that exist while it runs: that of the connection, the one made for the backend server, and the
// output buffer of the connection to it.
constexpr size_t copiesOfRunningRequest = 3;

// Derives the limits from the memory (bytes) and the file descriptors of the process. At least one request with a body
// of maximumBodyBytes fits.
connection_limits deriveConnectionLimits(size_t memoryBytes, size_t descriptors, size_t maximumBodyBytes);

// Limits of the listener for readiness and metrics, which are apart so that callers cannot keep checks of the balancer
// out. memoryBytes: memory of the process.
connection_limits deriveMonitoringLimits(size_t memoryBytes);

} // namespace pollen
