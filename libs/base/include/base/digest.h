#pragma once

#include <string>
#include <string_view>

namespace pollen {

// SHA-256 in lower-case hexadecimal, 64 characters.
std::string sha256Hex(std::string_view data);

// HMAC-SHA-256 of data under key in lower-case hexadecimal, 64 characters.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

// Compares in time that depends only on the lengths, so that a secret cannot be guessed byte by byte.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Lower-case hexadecimal of any bytes.
std::string toHex(std::string_view bytes);

// The inverse of toHex(); empty when the text is not hexadecimal.
std::string fromHex(std::string_view text);

// A random identifier of 16 hexadecimal characters from the operating system's random source.
std::string randomHex64();

} // namespace pollen
