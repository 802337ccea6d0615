#pragma once

#include <relay/relay_dependencies.h>

namespace pollen {

// The server that has answered an attempt, and the request.
struct answered_attempt {
    server_handle server;
    instance_id serverId;
    service_name service;
    request_id request;
    time_point sentAt;
};

// Records what a server says of itself in an answer: its rate limit or that it names none, that it leaves, that it
// wants no requests for a time, how much longer it is cold.
void recordStatements(const relay_dependencies& dependencies, const answered_attempt& attempt,
    const answer_traits& answer, time_point now);

} // namespace pollen
