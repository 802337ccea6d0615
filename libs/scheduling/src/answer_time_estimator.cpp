#include <scheduling/answer_time_estimator.h>

#include <algorithm>

namespace pollen {

namespace {

constexpr double quantile = 0.8;
// Relative change of the estimate by one answer.
constexpr double step = 0.1;

} // namespace

void answer_time_estimator::count(const service_name& service, uint32_t expectedTokens, duration elapsed)
{
    const double secondsPerToken = toSeconds(elapsed) / std::max<uint32_t>(expectedTokens, 1);
    const auto [known, first] = m_secondsPerToken.emplace(service, secondsPerToken);
    if (!first)
        known->second *= secondsPerToken > known->second ? 1 + step * quantile : 1 - step * (1 - quantile);
}

duration answer_time_estimator::estimate(const service_name& service, uint32_t expectedTokens) const
{
    const auto known = m_secondsPerToken.find(service);
    if (known == m_secondsPerToken.end())
        return duration(0);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(known->second * expectedTokens));
}

} // namespace pollen
