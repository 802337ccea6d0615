#pragma once

#include <base/typed_id.h>
#include <cstdint>
#include <string>
#include <vector>

namespace pollen {

// One crash of a server (process exit or power loss) while it ran a request.
struct server_crash {
    instance_id server;
    // Unix milliseconds, by the clock of the daemon that detected the crash.
    int64_t timeMilliseconds = 0;
    // Fingerprint of the request that the server ran; 0 if the daemon that reported the crash did not tell.
    uint64_t request = 0;

    friend bool operator==(const server_crash&, const server_crash&) = default;
};

// Identifies the report of one daemon on one request or on one prompt part.
struct crash_report_key {
    // Equal for requests of the same team with the same method, host, target and body, or for the same prompt part.
    uint64_t fingerprint = 0;
    instance_id daemon;

    friend auto operator<=>(const crash_report_key&, const crash_report_key&) = default;
};

// The crashes that one daemon has detected while servers ran a request, or requests with a prompt part.
struct crash_report {
    crash_report_key key;
    // Incremented with each change; a report replaces those of the same daemon with a lower revision.
    uint64_t revision = 0;
    // Oldest first.
    std::vector<server_crash> crashes;
    // Time of the last complete response of a server to the request, in Unix milliseconds; 0 if there was none.
    int64_t lastAnswerMilliseconds = 0;

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

// How far a daemon knows the table of another one.
struct crash_state {
    // Random number of the process that holds the table; 0 if none is known.
    uint64_t table = 0;
    // Changes of the table up to and including this one are known.
    uint64_t change = 0;

    friend bool operator==(const crash_state&, const crash_state&) = default;
};

// Reports that a receiver lacks, and how far it knows the sender's table with them.
struct crash_changes {
    crash_state state;
    std::vector<crash_report> reports;

    friend bool operator==(const crash_changes&, const crash_changes&) = default;
};

// Fingerprints of requests and of prompt parts, distinguished by their highest bit.
uint64_t requestFingerprint(uint64_t hash);
uint64_t partFingerprint(uint64_t part);
bool isPartFingerprint(uint64_t fingerprint);

// The fingerprint as written to log lines and to the store.
std::string fingerprintText(uint64_t fingerprint);

} // namespace pollen
