#pragma once

#include <string_view>

namespace pollen {

// Whether a body holds the head of a server's response: a status line and, behind it, the header in which servers echo
// the request's id. An answer that is cut, or that has no length, may be followed by another one on its connection.
bool holdsResponseHead(std::string_view body, std::string_view echoHeader);

} // namespace pollen
