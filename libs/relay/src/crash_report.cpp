#include <scheduling/request_hash.h>

#include <array>
#include <cstdio>
#include <relay/crash_report.h>

namespace pollen {

namespace {

constexpr uint64_t partBit = uint64_t { 1 } << 63;

} // namespace

uint64_t requestFingerprint(uint64_t hash) { return hash & ~partBit; }

uint64_t partFingerprint(uint64_t part)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&part), sizeof part);
    return hashOf(bytes) | partBit;
}

bool isPartFingerprint(uint64_t fingerprint) { return (fingerprint & partBit) != 0; }

std::string fingerprintText(uint64_t fingerprint)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

} // namespace pollen
