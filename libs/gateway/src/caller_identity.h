#pragma once

#include <fleet/fleet_tables.h>
#include <gateway/api_error.h>

namespace pollen {

// Returns the team that the bearer key of a request belongs to. Throws request_error.
team_handle authenticate(const http_request& request, const fleet_tables& tables);

// Returns the class named by the request, or the team's default. Throws request_error.
class_handle requestedClass(const http_request& request, const fleet_tables& tables, team_handle team);

// Returns the time until the caller's deadline, from the request header or else defaultDeadline, limited to
// maximumDeadline. Throws request_error.
duration requestedDeadline(const http_request& request, duration defaultDeadline, duration maximumDeadline);

// Returns the idempotency key of a request, empty if it has none. Throws request_error.
std::string idempotencyKey(const http_request& request);

} // namespace pollen
