#pragma once

#include <cstddef>
#include <relay/stream_fault.h>

namespace pollen {

// How the body of an answer ended.
enum class body_end {
    // With its length or its last chunk.
    Framed,
    // With an orderly close of its connection, as it had neither a length nor chunks.
    Connection,
    // Otherwise: too early, with a reset or with bytes that are no body.
    Broken,
};

// What is known of a server's answer once its body has ended.
struct answer_end {
    body_end body = body_end::Broken;
    // The body of a plain answer holds another answer.
    bool holdsOtherAnswer = false;
    // The answer is a stream of events. The fields below say nothing for other answers.
    bool isStream = false;
    // The body holds bytes that do not belong to the stream.
    stream_fault fault = stream_fault::None;
    // Complete events of this run, and whether the body ended within one more.
    size_t events = 0;
    bool isWithinEvent = false;

    friend bool operator==(const answer_end&, const answer_end&) = default;
};

// Whether the answer is complete, so that it may be passed on as such. Only a stream's own lines show that an event has
// ended, whatever the framing says: a server that breaks off may still end its body in order, and what fills it may
// belong to another answer. A run without any event completes no stream either, not even one that is resumed behind its
// last event: it cannot be told from one that was cut before its first event.
bool isWhole(const answer_end& end);

} // namespace pollen
