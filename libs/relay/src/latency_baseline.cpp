#include <algorithm>
#include <relay/latency_baseline.h>

namespace pollen {

namespace {

// First bytes that come sooner are not slow, however much sooner others come.
constexpr duration minimumSlowLatency = std::chrono::milliseconds(30);
// What an answer takes when nothing is to be read.
constexpr double baseMilliseconds = 50;
// Where the cost of a token starts; the fleets' sheets have 16 to 470 tokens read in a millisecond, by model.
constexpr double initialMillisecondsPerToken = 1.0 / 48;
// Smaller prompts say little of it.
constexpr uint32_t minimumLearningTokens = 500;
// How far one latency moves the cost of a token, which rests where half of the latencies are above it.
constexpr double tokenCostStep = 0.05;

constexpr double slowShare = 0.2;
// How far one latency moves the slowRatio. The slowRatio rests where those beyond it and those below it balance.
constexpr double slowRatioStep = 0.1;
// Where the slowRatio starts, from the first latency of a kind.
constexpr double initialSlowFactor = 2;
// Latencies that are so many times as long as the slowRatio are very slow.
constexpr double verySlowFactor = 1.6;

} // namespace

double latency_baseline::estimate::expected(uint32_t unreadTokens) const
{
    return baseMilliseconds + millisecondsPerToken * unreadTokens;
}

double latency_baseline::estimate::relative(duration latency, uint32_t unreadTokens) const
{
    return toSeconds(latency) * 1000 / expected(unreadTokens);
}

std::optional<duration> latency_baseline::verySlowThreshold(const kind& kind, uint32_t unreadTokens) const
{
    const auto known = m_estimates.find(kind);
    if (known == m_estimates.end())
        return std::nullopt;
    const std::chrono::duration<double, std::milli> after(
        known->second.expected(unreadTokens) * known->second.slowRatio * verySlowFactor);
    return std::max(minimumSlowLatency, std::chrono::duration_cast<duration>(after));
}

latency_grade latency_baseline::grade(const kind& kind, duration latency, uint32_t unreadTokens) const
{
    const auto known = m_estimates.find(kind);
    if (known == m_estimates.end() || latency <= minimumSlowLatency)
        return latency_grade::Normal;
    const double relative = known->second.relative(latency, unreadTokens);
    if (relative > known->second.slowRatio * verySlowFactor)
        return latency_grade::VerySlow;
    return relative > known->second.slowRatio ? latency_grade::Slow : latency_grade::Normal;
}

void latency_baseline::count(const kind& kind, duration latency, uint32_t unreadTokens)
{
    const auto [known, isFirst] = m_estimates.try_emplace(kind, estimate { initialMillisecondsPerToken, 0 });
    estimate& usual = known->second;
    const double relative = usual.relative(latency, unreadTokens);
    if (unreadTokens >= minimumLearningTokens)
        usual.millisecondsPerToken *= relative > 1 ? 1 + tokenCostStep : 1 - tokenCostStep;
    if (isFirst)
        usual.slowRatio = relative * initialSlowFactor;
    else
        usual.slowRatio *= 1 + slowRatioStep * (relative > usual.slowRatio ? 1 - slowShare : -slowShare);
}

} // namespace pollen
