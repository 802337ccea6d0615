#pragma once

namespace pollen {

// What shows that bytes of a stream's body do not belong to the stream.
enum class stream_fault {
    None,
    // The answer declares another type than a stream's.
    OtherType,
    // A line that is no field of an event, such as one of another answer's head, or text with control characters.
    ForeignLine,
    // A line of an event ends in another way than those before. An event is written by one writer.
    LineEnd,
    // An event without an id or without data. Without an id nothing shows where the stream goes on.
    IncompleteEvent,
    // An id that does not follow the one before: events are missing, come twice or belong to another run.
    UnexpectedId,
};

// For log and metrics.
const char* toText(stream_fault fault);

} // namespace pollen
