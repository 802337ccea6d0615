#pragma once

#include <base/clock.h>
#include <base/logger.h>
#include <memory>

namespace pollen {

// Writes each event as one JSON line to a file descriptor through Boost.Log. A line that cannot be written without
// blocking is dropped and counted, so that a stalled reader of the log never blocks the event loop.
class json_logger final : public logger {
public:
    // fileDescriptor: must stay open for the lifetime of the logger, which does not close it. source: name of this
    // process, written to each line.
    json_logger(int fileDescriptor, log_level minimumLevel, std::string source, const clock& clock);
    ~json_logger() override;

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields) override;

    // Number of lines dropped so far.
    uint64_t droppedLines() const;

private:
    class sink_backend;
    struct details;
    std::unique_ptr<details> m_details;
};

} // namespace pollen
