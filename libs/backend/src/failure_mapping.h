#pragma once

#include <backend/model_engine.h>
#include <http/http_client.h>

namespace pollen {

// Maps the result of a failed HTTP exchange to the failure of the call that it carried.
inline backend_failure toBackendFailure(const exchange_result& result)
{
    if (!result.requestSent)
        return backend_failure::NotReached;
    switch (result.failure) {
    case exchange_failure::TimedOut:
        return backend_failure::TimedOut;
    case exchange_failure::MalformedResponse:
    case exchange_failure::ResponseTooLarge:
        return backend_failure::Malformed;
    default:
        return backend_failure::ConnectionLost;
    }
}

// Maps a server's statement that it has not run the call. It does not cover an earlier transmission of the request.
inline backend_failure toRefusalFailure(const exchange_result& result)
{
    return result.repeated ? backend_failure::ConnectionLost : backend_failure::Busy;
}

} // namespace pollen
