#include <relay/rollout_verdict.h>

#include <algorithm>
#include <cmath>

namespace pollen {

namespace {

// Natural logarithm of the odds at which a version counts as bad: one false alarm in a thousand roll-outs.
const double badThreshold = std::log(1000);
// Natural logarithm of the odds at which it counts as good: one bad version in twenty passes the test.
const double goodThreshold = -std::log(20);
// Share of bad answers that a good version may have beyond what the other versions show.
constexpr double toleratedShare = 0.02;
// Least share of bad answers of a bad version.
constexpr double badShare = 0.2;
constexpr double largestShare = 0.95;

// Log-likelihood ratio of "bad" against "good" after so many hits out of so many trials.
double evidence(double hits, double trials, double goodShare)
{
    const double good = std::clamp(goodShare + toleratedShare, toleratedShare, largestShare - badShare);
    const double bad = std::min(good + badShare, largestShare);
    return hits * std::log(bad / good) + (trials - hits) * std::log((1 - bad) / (1 - good));
}

double shareOf(uint64_t hits, uint64_t trials)
{
    return trials == 0 ? 0 : static_cast<double>(hits) / static_cast<double>(trials);
}

} // namespace

const char* toText(rollout_verdict verdict)
{
    switch (verdict) {
    case rollout_verdict::Open:
        return "open";
    case rollout_verdict::Good:
        return "good";
    case rollout_verdict::Bad:
        return "bad";
    }
    return "open";
}

rollout_verdict judgeRollout(const version_answers& target, const version_answers& others)
{
    const auto trials = static_cast<double>(target.all());
    const double failures = evidence(static_cast<double>(target.bad), trials, shareOf(others.bad, others.all()));
    const double slowness = evidence(static_cast<double>(target.slow), trials, shareOf(others.slow, others.all()));
    if (std::max(failures, slowness) >= badThreshold)
        return rollout_verdict::Bad;
    if (std::max(failures, slowness) <= goodThreshold)
        return rollout_verdict::Good;
    return rollout_verdict::Open;
}

} // namespace pollen
