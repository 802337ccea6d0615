#include <algorithm>
#include <relay/latency_baseline.h>

namespace pollen {

namespace {

// First bytes within this time are never slow, however much faster others are.
constexpr duration minimumSlowLatency = std::chrono::milliseconds(30);
// Expected latency without prompt tokens to process.
constexpr double baseMilliseconds = 50;
// Initial cost of a token; by the fleets' data sheets engines process 16 to 470 tokens per millisecond, depending on
// the model.
constexpr double initialMillisecondsPerToken = 1.0 / 48;
// Prompts with fewer tokens say little about the cost of a token.
constexpr uint32_t minimumLearningTokens = 500;
// Relative change of the cost of a token by one latency; it converges to the median.
constexpr double tokenCostStep = 0.05;

// Share of slow first bytes at which slowRatio is stable.
constexpr double slowShare = 0.2;
// Relative change of slowRatio by one latency, weighted so that it converges to the percentile set by slowShare.
constexpr double slowRatioStep = 0.1;
// Initial slowRatio as a multiple of the first relative latency of a kind.
constexpr double initialSlowFactor = 2;
// Relative latencies above slowRatio times this factor are very slow.
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
