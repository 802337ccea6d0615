#include <relay/rollout_verdict.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace pollen {

namespace {

// Log-likelihood ratio of "bad" against "good" (natural logarithm) that rejects a version: one false rejection in 1000
// roll-outs. The other thresholds are on the same scale.
const double badThreshold = std::log(1000);
// Accepts a version: one bad version in 20 passes.
const double goodThreshold = -std::log(20);
// Rejects a version when no more answers can be awaited. Above zero because most versions are good and some answers
// fail by chance.
const double probablyBadThreshold = std::log(2);
const double routeProbablyBadThreshold = std::log(8);
// Accepts one route of a version that is good overall. Weaker than goodThreshold because most routes have few answers.
const double routeGoodThreshold = -std::log(3);
// Routes with a smaller share of the service's requests are judged only as part of the total.
constexpr double minimumRouteShare = 0.1;
// By how much a share may exceed that of the other versions in a good version, and by how much it does so at least in a
// bad one.
struct margins {
    double tolerated;
    double bad;
};
constexpr margins failureMargins { 0.02, 0.22 };
// Servers on trial have no earlier prompts cached and carry more than their share of the load, so some of their first
// bytes are slow; few of them are very slow.
constexpr margins slownessMargins { 0.2, 0.45 };
constexpr margins extremeSlownessMargins { 0.04, 0.24 };
constexpr double maximumShare = 0.95;

// With fewer answers of the other versions on a route, their total over all routes is the baseline.
constexpr uint64_t minimumBaselineAnswers = 5;
// With this many answers of the other versions, a trial had enough requests to get at least one answer.
constexpr uint64_t sufficientOtherAnswers = 20;

// Number of observations and how many of them show a symptom.
struct tally {
    uint64_t hits = 0;
    uint64_t trials = 0;

    double share() const { return trials == 0 ? 0 : static_cast<double>(hits) / static_cast<double>(trials); }
};

// One kind of evidence against a version.
struct symptom {
    tally (*count)(const version_answers&);
    margins bounds;
};
const std::array<symptom, 3> symptoms { {
    { [](const version_answers& answers) {
         return tally { answers.bad, answers.completed() };
     },
        failureMargins },
    { [](const version_answers& answers) {
         return tally { answers.slow, answers.timed };
     },
        slownessMargins },
    { [](const version_answers& answers) {
         return tally { answers.verySlow, answers.timed };
     },
        extremeSlownessMargins },
} };

// Log-likelihood ratio of "bad" against "good" for one symptom on one route. None where nearly all answers of the other
// versions have the symptom.
std::optional<double> logLikelihoodRatio(
    const symptom& symptom, const route_answers& row, const version_answers& allOthers)
{
    const tally seen = symptom.count(row.target);
    const tally others = symptom.count(row.others);
    const double baseline = others.trials < minimumBaselineAnswers ? symptom.count(allOthers).share() : others.share();
    if (baseline + symptom.bounds.bad > maximumShare)
        return std::nullopt;
    const double good = baseline + symptom.bounds.tolerated;
    const double bad = baseline + symptom.bounds.bad;
    return static_cast<double>(seen.hits) * std::log(bad / good)
        + static_cast<double>(seen.trials - seen.hits) * std::log((1 - bad) / (1 - good));
}

// The highest ratio of any symptom, for all routes together and for any single route with enough of the service's
// requests. Each route is compared with itself, so that the distribution of the trial over the routes does not matter.
struct strongest_evidence {
    double whole = -std::numeric_limits<double>::infinity();
    double route = -std::numeric_limits<double>::infinity();
};

strongest_evidence findStrongestEvidence(const rollout_evidence& evidence)
{
    const version_answers allOthers = evidence.total().others;
    strongest_evidence strongest;
    for (const symptom& symptom : symptoms) {
        double sum = 0;
        for (const route_answers& row : evidence.routes()) {
            const auto found = logLikelihoodRatio(symptom, row, allOthers);
            if (!found)
                continue;
            sum += *found;
            const bool counts = row.route == rollout_evidence::underLoad
                || static_cast<double>(row.others.sent) >= static_cast<double>(allOthers.sent) * minimumRouteShare;
            if (counts)
                strongest.route = std::max(strongest.route, *found);
        }
        strongest.whole = std::max(strongest.whole, sum);
    }
    return strongest;
}

} // namespace

const char* toText(rollout_verdict verdict)
{
    switch (verdict) {
    case rollout_verdict::Undecided:
        return "open";
    case rollout_verdict::Good:
        return "good";
    case rollout_verdict::Bad:
        return "bad";
    }
    return "open";
}

rollout_verdict judgeRollout(const rollout_evidence& evidence)
{
    const strongest_evidence strongest = findStrongestEvidence(evidence);
    if (std::max(strongest.whole, strongest.route) >= badThreshold)
        return rollout_verdict::Bad;
    const bool good = strongest.whole <= goodThreshold && strongest.route <= routeGoodThreshold;
    return good ? rollout_verdict::Good : rollout_verdict::Undecided;
}

bool isProbablyBad(const rollout_evidence& evidence)
{
    const route_answers total = evidence.total();
    if (total.target.completed() + total.target.timed == 0 && total.others.completed() >= sufficientOtherAnswers)
        return true;
    const strongest_evidence strongest = findStrongestEvidence(evidence);
    return strongest.whole >= probablyBadThreshold || strongest.route >= routeProbablyBadThreshold;
}

} // namespace pollen
