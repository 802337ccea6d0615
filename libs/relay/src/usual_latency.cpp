#include <algorithm>
#include <relay/usual_latency.h>

namespace pollen {

namespace {

// First bytes that come sooner are not slow, however much sooner others come.
constexpr duration leastSlow = std::chrono::milliseconds(30);
// What an answer takes when nothing is to be read.
constexpr double baseMilliseconds = 50;
// Where the cost of a token starts; the fleets' sheets have 16 to 470 tokens read in a millisecond, by model.
constexpr double firstMillisecondsPerToken = 1.0 / 48;
// Smaller prompts say little of it.
constexpr uint32_t leastTokens = 500;
// How far one latency moves the cost of a token, which rests where half of the latencies are above it.
constexpr double costStep = 0.05;

constexpr double shareBeyond = 0.2;
// How far one latency moves the bound. The bound rests where those beyond it and those below it balance.
constexpr double step = 0.1;
// Where the bound starts, from the first latency of a kind.
constexpr double firstFactor = 2;
// Latencies that are so many times as long as the bound are very slow.
constexpr double verySlowFactor = 1.6;

} // namespace

double usual_latency::estimate::expected(uint32_t unreadTokens) const
{
    return baseMilliseconds + millisecondsPerToken * unreadTokens;
}

double usual_latency::estimate::relative(duration latency, uint32_t unreadTokens) const
{
    return toSeconds(latency) * 1000 / expected(unreadTokens);
}

std::optional<duration> usual_latency::verySlowAfter(const kind& kind, uint32_t unreadTokens) const
{
    const auto known = m_estimates.find(kind);
    if (known == m_estimates.end())
        return std::nullopt;
    const std::chrono::duration<double, std::milli> after(
        known->second.expected(unreadTokens) * known->second.bound * verySlowFactor);
    return std::max(leastSlow, std::chrono::duration_cast<duration>(after));
}

latency_grade usual_latency::grade(const kind& kind, duration latency, uint32_t unreadTokens) const
{
    const auto known = m_estimates.find(kind);
    if (known == m_estimates.end() || latency <= leastSlow)
        return latency_grade::Usual;
    const double relative = known->second.relative(latency, unreadTokens);
    if (relative > known->second.bound * verySlowFactor)
        return latency_grade::VerySlow;
    return relative > known->second.bound ? latency_grade::Slow : latency_grade::Usual;
}

void usual_latency::count(const kind& kind, duration latency, uint32_t unreadTokens)
{
    const auto [known, isFirst] = m_estimates.try_emplace(kind, estimate { firstMillisecondsPerToken, 0 });
    estimate& usual = known->second;
    const double relative = usual.relative(latency, unreadTokens);
    if (unreadTokens >= leastTokens)
        usual.millisecondsPerToken *= relative > 1 ? 1 + costStep : 1 - costStep;
    if (isFirst)
        usual.bound = relative * firstFactor;
    else
        usual.bound *= 1 + step * (relative > usual.bound ? 1 - shareBeyond : -shareBeyond);
}

} // namespace pollen
