#include <base/clock.h>

namespace pollen {

time_point os_clock::now() const { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); }

int64_t os_clock::wallMilliseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

int64_t toMilliseconds(duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span).count(); }

double toSeconds(duration span) { return std::chrono::duration<double>(span).count(); }

} // namespace pollen
