#include <relay/crash_watch.h>

namespace pollen {

namespace {

// Two servers may go down by chance while they run the same request; three hardly do.
constexpr uint32_t breaksOfASuspect = 3;
constexpr duration memory = std::chrono::seconds(60);

} // namespace

void crash_watch::countBreak(uint64_t fingerprint, time_point now)
{
    entry& known = m_entries[fingerprint];
    ++known.breaks;
    known.last = now;
}

uint32_t crash_watch::breaks(uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? 0 : found->second.breaks;
}

bool crash_watch::isSuspect(uint64_t fingerprint, time_point now) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.breaks >= breaksOfASuspect && now - found->second.last < memory;
}

void crash_watch::sweep(time_point now)
{
    std::erase_if(m_entries, [&](const auto& item) { return now - item.second.last >= memory; });
}

} // namespace pollen
