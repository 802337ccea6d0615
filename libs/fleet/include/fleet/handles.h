#pragma once

#include <compare>
#include <cstdint>

namespace pollen {

// Row number in one of the fleet tables; valid until the table's document is replaced, except for server_handle,
// which stays valid until the row is removed.
template <typename Tag> struct handle {
    uint32_t index = 0;

    friend bool operator==(const handle&, const handle&) = default;
    friend std::strong_ordering operator<=>(const handle&, const handle&) = default;
};

using server_handle = handle<struct server_handle_tag>;
using version_handle = handle<struct version_handle_tag>;
using team_handle = handle<struct team_handle_tag>;
using class_handle = handle<struct class_handle_tag>;

} // namespace pollen
