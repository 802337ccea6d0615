#pragma once

#include <fleet/fleet_tables.h>
#include <gateway/api_error.h>

namespace pollen {

// The team that the bearer key of a request belongs to. Throws request_error.
team_handle authenticate(const http_request& request, const fleet_tables& tables);

// The class named by the request, or the team's default. Throws request_error.
class_handle requestedClass(const http_request& request, const fleet_tables& tables, team_handle team);

// Time until the caller's deadline: its header, or the class's default. Throws request_error.
duration requestedDeadline(const http_request& request, duration defaultDeadline, duration maximumDeadline);

// The idempotency key of a request; empty when there is none. Throws request_error.
std::string idempotencyKey(const http_request& request);

} // namespace pollen
