#include <base/digest.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <random>

namespace pollen {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

std::string_view asView(const std::array<unsigned char, EVP_MAX_MD_SIZE>& digest, unsigned int length)
{
    return { reinterpret_cast<const char*>(digest.data()), length };
}

} // namespace

std::string toHex(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += hexDigits[value >> 4];
        text += hexDigits[value & 15];
    }
    return text;
}

std::string fromHex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return {};
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (size_t i = 0; i < text.size(); i += 2) {
        const size_t high = hexDigits.find(text[i]);
        const size_t low = hexDigits.find(text[i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return {};
        bytes += static_cast<char>(high << 4 | low);
    }
    return bytes;
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return toHex(asView(digest, length));
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(data.data()),
        data.size(), digest.data(), &length);
    return toHex(asView(digest, length));
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex64()
{
    constexpr int bitsPerDigit = 4;
    constexpr int digits = 16;
    std::random_device device;
    uint64_t value = static_cast<uint64_t>(device()) << 32 | device();
    std::string text;
    for (int i = 0; i < digits; ++i) {
        text += hexDigits[value & 15];
        value >>= bitsPerDigit;
    }
    return text;
}

} // namespace pollen
