#pragma once

#include <base/clock.h>
#include <relay/topic_record.h>

namespace pollen {

// How far a daemon knows a topic.
struct topic_state {
    // The position after the last known record.
    log_position position;
    // Digest of the records that are known from earlier eras only; 0 if there are none.
    uint64_t carriedDigest = 0;

    friend bool operator==(const topic_state&, const topic_state&) = default;
};

// Changes of a topic since a log position.
struct topic_change {
    // The records are the complete topic; all other keys of this era have been deleted.
    bool isSnapshot = false;
    // The change contains the effect of all records before this position.
    log_position position;
    // Time since the sender last knew that there was nothing newer.
    duration age { 0 };
    std::vector<topic_record> records;
    // The records are too large to be sent to each member of a group; the receiver reads the store instead.
    bool isOmitted = false;
    // More changes follow. The position is that of the first record left out, and the age says nothing.
    bool isPartial = false;

    friend bool operator==(const topic_change&, const topic_change&) = default;
};

} // namespace pollen
