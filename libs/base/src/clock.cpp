#include <base/clock.h>

#include <ctime>

namespace pollen {

time_point os_clock::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

int64_t os_clock::wallMilliseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

int64_t toMilliseconds(duration interval)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
}

double toSeconds(duration interval) { return std::chrono::duration<double>(interval).count(); }

} // namespace pollen
