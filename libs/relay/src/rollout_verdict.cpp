#include <relay/rollout_verdict.h>

#include <algorithm>
#include <cmath>

namespace pollen {

namespace {

// Natural logarithm of the odds at which a version counts as bad: one false alarm in a thousand roll-outs.
const double badThreshold = std::log(1000);
// Natural logarithm of the odds at which it counts as good: one bad version in twenty passes the test.
const double goodThreshold = -std::log(20);
// Natural logarithm of the odds at which a version is taken for bad when there is no time to see more: most versions
// are good, and some answers are bad by chance.
const double leaningThreshold = std::log(6);
// How much larger than that of the other versions a share may be in a good version, and is at least in a bad one.
struct margins {
    double tolerated;
    double bad;
};
constexpr margins failureMargins { 0.02, 0.22 };
// Servers of a new version have nothing of earlier prompts in memory, so that some of their first bytes are late.
constexpr margins slownessMargins { 0.08, 0.3 };
constexpr double largestShare = 0.95;

// Log-likelihood ratio of "bad" against "good" after so many hits out of so many trials.
double evidence(double hits, double trials, double othersShare, const margins& margins)
{
    const double usual = std::min(othersShare, largestShare - margins.bad);
    const double good = usual + margins.tolerated;
    const double bad = usual + margins.bad;
    return hits * std::log(bad / good) + (trials - hits) * std::log((1 - bad) / (1 - good));
}

double shareOf(uint64_t hits, uint64_t trials)
{
    return trials == 0 ? 0 : static_cast<double>(hits) / static_cast<double>(trials);
}

// The stronger of the evidence by failures and by slow first bytes.
double worstEvidence(const version_answers& target, const version_answers& others)
{
    const double failures = evidence(static_cast<double>(target.bad), static_cast<double>(target.all()),
        shareOf(others.bad, others.all()), failureMargins);
    const double slowness = evidence(static_cast<double>(target.slow), static_cast<double>(target.timed),
        shareOf(others.slow, others.timed), slownessMargins);
    return std::max(failures, slowness);
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
    const double worst = worstEvidence(target, others);
    if (worst >= badThreshold)
        return rollout_verdict::Bad;
    return worst <= goodThreshold ? rollout_verdict::Good : rollout_verdict::Open;
}

bool seemsBad(const version_answers& target, const version_answers& others)
{
    return worstEvidence(target, others) >= leaningThreshold;
}

} // namespace pollen
