#pragma once

#include "load_request.h"

namespace pollen {

struct closed_load_result {
    size_t answered = 0;
    size_t failed = 0;
    // Server-sent events that carried a token.
    size_t tokens = 0;
    // Most exchanges that had received their first byte and not ended.
    size_t mostOpen = 0;
    double seconds = 0;
};

struct closed_load_options {
    // Requests running at any time; each is followed by the next.
    size_t concurrency = 1;
    bool streaming = false;
    int tokens = 1;
    duration length = std::chrono::seconds(5);
    // Called about ten times a second while the load runs.
    std::function<void()> observe = [] {};
};

// Keeps a number of requests running against one target.
closed_load_result runClosedLoad(const load_target& target, const closed_load_options& options);

} // namespace pollen
