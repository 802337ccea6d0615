#pragma once

#include <string>
#include <string_view>

namespace pollen {

// SHA-256 in lower-case hexadecimal, 64 characters.
std::string sha256Hex(std::string_view data);

// HMAC-SHA-256 of data under key in lower-case hexadecimal, 64 characters.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

// Compares in time that depends only on the lengths, which prevents guessing a secret byte by byte from response times.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Encodes arbitrary bytes in lower-case hexadecimal.
std::string toHex(std::string_view bytes);

// Inverse of toHex(). Returns an empty string if the text is not lower-case hexadecimal of even length.
std::string fromHex(std::string_view text);

// A random identifier of 16 hexadecimal characters from the operating system's random source.
std::string randomHex64();

} // namespace pollen
