#pragma once

#include <optional>
#include <relay/log_position.h>
#include <string>
#include <vector>

namespace pollen {

// The newest record of one key; a record without a value is a tombstone: the key has been deleted.
struct topic_record {
    std::string key;
    std::optional<std::string> value;
    // Where the record stands in the platform's log.
    log_position position;
    // The record may have been written before the era of its position: after a restore, the log begins with the records
    // of the copy, and who reads them cannot tell them from those written since.
    bool mayPredateEra = false;

    friend bool operator==(const topic_record&, const topic_record&) = default;
};

} // namespace pollen
