#include <relay/rollout_verdict.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <span>
#include <vector>

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
// The servers on trial have another load than the others, which changes the pace of some of their streams. A version
// that works slowly does so on all streams.
constexpr margins slowPaceMargins { 0.3, 0.6 };
constexpr double maximumShare = 0.95;
// How much one measurement may speak against a symptom, so that it does not outweigh clear evidence.
const double maximumExoneration = 2 * badThreshold;
// Without this much between the shares of a good and of a bad version, an answer says too little.
constexpr double minimumSeparation = 0.1;

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

// Counts the observations of one kind, and those of them at or above a grade.
struct indicator {
    tally (*count)(const version_answers&);
    margins bounds;
};

// Indicators of increasing grade for the same observations; the strongest one counts.
struct measurement {
    std::vector<indicator> grades;
};

// A way in which a version may be bad.
struct symptom {
    const measurement& evidence;
    // What may speak against the symptom although the evidence shows it; null if nothing does.
    const measurement* exoneration = nullptr;
    // Plain answers can't show the symptom and don't leave it open.
    bool needsStreams = false;
};

const measurement failures { { { [](const version_answers& answers) {
                                    return tally { answers.bad, answers.completed() };
                                },
    failureMargins } } };
const measurement firstBytes { { { [](const version_answers& answers) {
                                      return tally { answers.slow, answers.timed };
                                  },
                                     slownessMargins },
    { [](const version_answers& answers) {
         return tally { answers.verySlow, answers.timed };
     },
        extremeSlownessMargins } } };
const measurement pace { { { [](const version_answers& answers) {
                                return tally { answers.slowPaced, answers.paced };
                            },
                               slowPaceMargins },
    { [](const version_answers& answers) {
         return tally { answers.verySlowPaced, answers.paced };
     },
        slowPaceMargins } } };

// Cold caches delay first bytes only, so streams at the usual pace speak against slow ones. First bytes say nothing
// against slow streams: the queue hides in them what the version itself needs.
const std::array<symptom, 3> symptoms { { { failures }, { firstBytes, &pace }, { pace, nullptr, true } } };

// Log-likelihood ratio of "bad" against "good" for one indicator on one route. None where nearly all answers of the
// other versions show it.
std::optional<double> logLikelihoodRatio(
    const indicator& indicator, const route_answers& row, const version_answers& allOthers)
{
    const tally seen = indicator.count(row.target);
    const tally others = indicator.count(row.others);
    const double baseline
        = others.trials < minimumBaselineAnswers ? indicator.count(allOthers).share() : others.share();
    const double good = baseline + indicator.bounds.tolerated;
    const double bad = std::min(baseline + indicator.bounds.bad, maximumShare);
    if (bad - good < minimumSeparation)
        return std::nullopt;
    return static_cast<double>(seen.hits) * std::log(bad / good)
        + static_cast<double>(seen.trials - seen.hits) * std::log((1 - bad) / (1 - good));
}

// The same for the strongest grade of a measurement over several routes. Each route is compared with itself, so that
// the distribution of the trial over the routes does not matter.
std::optional<double> logLikelihoodRatio(
    const measurement& measurement, std::span<const route_answers> rows, const version_answers& allOthers)
{
    std::optional<double> strongest;
    for (const indicator& grade : measurement.grades) {
        std::optional<double> sum;
        for (const route_answers& row : rows) {
            if (const auto found = logLikelihoodRatio(grade, row, allOthers))
                sum = sum.value_or(0) + *found;
        }
        strongest = std::max(strongest, sum);
    }
    return strongest;
}

// None where the symptom cannot show.
std::optional<double> logLikelihoodRatio(
    const symptom& symptom, std::span<const route_answers> rows, const version_answers& allOthers)
{
    const bool hasStreams = std::any_of(
        rows.begin(), rows.end(), [](const route_answers& row) { return row.target.paced + row.others.paced > 0; });
    if (symptom.needsStreams && !hasStreams)
        return std::nullopt;
    const auto found = logLikelihoodRatio(symptom.evidence, rows, allOthers);
    if (!found || !symptom.exoneration)
        return found;
    const double against = logLikelihoodRatio(*symptom.exoneration, rows, allOthers).value_or(0);
    return *found + std::clamp(against, -maximumExoneration, 0.0);
}

// The highest ratio of any symptom, for all routes together and for any single route with enough of the service's
// requests.
struct strongest_evidence {
    double whole = -std::numeric_limits<double>::infinity();
    double route = -std::numeric_limits<double>::infinity();
};

strongest_evidence findStrongestEvidence(const rollout_evidence& evidence)
{
    const version_answers allOthers = evidence.total().others;
    strongest_evidence strongest;
    for (const symptom& symptom : symptoms) {
        if (const auto found = logLikelihoodRatio(symptom, evidence.routes(), allOthers))
            strongest.whole = std::max(strongest.whole, *found);
        for (const route_answers& row : evidence.routes()) {
            const bool counts = row.route == rollout_evidence::underLoad
                || static_cast<double>(row.others.sent) >= static_cast<double>(allOthers.sent) * minimumRouteShare;
            const auto found = logLikelihoodRatio(symptom, { &row, 1 }, allOthers);
            if (counts && found)
                strongest.route = std::max(strongest.route, *found);
        }
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
    const bool good
        = !evidence.routes().empty() && strongest.whole <= goodThreshold && strongest.route <= routeGoodThreshold;
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
