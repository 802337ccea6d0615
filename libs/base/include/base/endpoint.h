#pragma once

#include <base/error.h>
#include <compare>
#include <cstdint>
#include <string>

namespace pollen {

// The text is not an IP address and port.
class endpoint_error final : public error {
public:
    explicit endpoint_error(const std::string& text);
};

// An IP address and a port. Host names are not resolved: every party is addressed by its numeric address.
struct endpoint {
    std::string address;
    uint16_t port = 0;

    // "127.0.0.1:8080" or "[::1]:8080".
    std::string text() const;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend std::strong_ordering operator<=>(const endpoint&, const endpoint&) = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080"; throws endpoint_error.
endpoint parseEndpoint(const std::string& text);

} // namespace pollen
