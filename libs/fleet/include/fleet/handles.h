#pragma once

#include <compare>
#include <cstdint>

namespace pollen {

// Row index in one of the fleet tables. Valid until a new document is installed; a server_handle stays valid until its
// row is freed.
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
