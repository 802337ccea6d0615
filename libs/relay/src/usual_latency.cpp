#include <relay/usual_latency.h>

namespace pollen {

namespace {

constexpr double shareBeyond = 0.2;
// How far one latency moves the bound. The bound rests where those beyond it and those below it balance.
constexpr double step = 0.1;
// Where the bound starts, from the first latency of a kind.
constexpr double firstFactor = 2;

} // namespace

bool usual_latency::isSlow(const kind& kind, double relative) const
{
    const auto bound = m_bounds.find(kind);
    return bound != m_bounds.end() && relative > bound->second;
}

void usual_latency::count(const kind& kind, double relative)
{
    const auto [bound, isFirst] = m_bounds.try_emplace(kind, relative * firstFactor);
    if (isFirst)
        return;
    const double towards = relative > bound->second ? 1 - shareBeyond : -shareBeyond;
    bound->second *= 1 + step * towards;
}

} // namespace pollen
