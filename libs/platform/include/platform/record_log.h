#pragma once

#include <base/clock.h>
#include <base/log_offset.h>
#include <functional>
#include <string>
#include <vector>

namespace pollen {

struct log_record {
    log_offset offset = 0;
    // Time of the append by the log's own clock, in milliseconds since the Unix epoch.
    int64_t timeMilliseconds = 0;
    std::string value;

    friend bool operator==(const log_record&, const log_record&) = default;
};

enum class append_outcome {
    Appended,
    // Certainly not appended: the limit was hit, or no byte of the request was sent.
    NotAppended,
    // The answer was lost; the records may be in the log or may still enter it.
    Unknown,
};

struct append_result {
    append_outcome outcome = append_outcome::Unknown;
    // Offset of the first record; the others follow without gaps. Valid when appended.
    log_offset firstOffset = 0;

    friend bool operator==(const append_result&, const append_result&) = default;
};

struct read_result {
    bool ok = false;
    std::vector<log_record> records;
    // Oldest offset that the log still keeps; records before it have expired.
    log_offset oldest = 0;
    // The log's own clock, and how long it keeps a record.
    int64_t nowMilliseconds = 0;
    int64_t retentionMilliseconds = 0;

    friend bool operator==(const read_result&, const read_result&) = default;
};

// The platform's append-only log. A few hundred appends a second for the whole fleet, limited retention, outages.
class record_log {
public:
    virtual ~record_log() = default;

    // Appends records as one unit, in order.
    using append_callback = std::function<void(const append_result&)>;
    virtual void append(const std::string& stream, std::vector<std::string> records, append_callback callback) = 0;

    // Reads records from an offset on. Waits up to wait for the first of them; an empty answer is no failure.
    using read_callback = std::function<void(const read_result&)>;
    virtual void read(const std::string& stream, log_offset from, duration wait, read_callback callback) = 0;
};

} // namespace pollen
