#include <backend/model_engine.h>

namespace pollen {

const char* toText(backend_failure failure)
{
    switch (failure) {
    case backend_failure::NotReached:
        return "not_reached";
    case backend_failure::Busy:
        return "busy";
    case backend_failure::Rejected:
        return "rejected";
    case backend_failure::ServerError:
        return "server_error";
    case backend_failure::ConnectionLost:
        return "connection_lost";
    case backend_failure::TimedOut:
        return "timed_out";
    case backend_failure::RequestIdMismatch:
        return "crossed_answer";
    case backend_failure::Malformed:
        return "malformed";
    }
    return "malformed";
}

bool certainlyNotRun(backend_failure failure)
{
    return failure == backend_failure::NotReached || failure == backend_failure::Busy;
}

} // namespace pollen
