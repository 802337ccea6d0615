#include <array>
#include <cstdio>
#include <relay/crash_report.h>

namespace pollen {

std::string fingerprintText(uint64_t fingerprint)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

} // namespace pollen
