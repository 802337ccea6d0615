#pragma once

#include <base/typed_id.h>
#include <cstdint>
#include <string>
#include <vector>

namespace pollen {

// One end of a server while it ran a request.
struct server_crash {
    instance_id server;
    // Unix milliseconds, by the clock of the daemon that saw it.
    int64_t timeMilliseconds = 0;

    friend bool operator==(const server_crash&, const server_crash&) = default;
};

// Names what one daemon says about one request.
struct crash_report_key {
    // The same for requests of the same team with the same method, host, target and body.
    uint64_t fingerprint = 0;
    instance_id daemon;

    friend auto operator<=>(const crash_report_key&, const crash_report_key&) = default;
};

// What one daemon has seen of a request under which servers ended.
struct crash_report {
    crash_report_key key;
    // Rises with each change; a report replaces those of the same daemon with a lower one.
    uint64_t revision = 0;
    // Oldest first.
    std::vector<server_crash> crashes;
    // When a server last answered the request in full; Unix milliseconds, 0 for never.
    int64_t lastAnswerMilliseconds = 0;

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

// As a fingerprint stands in log lines and in the store.
std::string fingerprintText(uint64_t fingerprint);

} // namespace pollen
