#include <algorithm>
#include <cmath>
#include <relay/rollout_trial.h>
#include <utility>

namespace pollen {

namespace {

// Share of the exposure that is planned for; the rest covers requests that daemons have sent but not yet reported, and
// traffic that differs from the forecast.
constexpr double plannedExposureShare = 0.92;
// Up to this share of the planned exposure is kept for the move, in which all requests go to the new version until the
// time limit has passed.
constexpr double maximumMoveExposureShare = 0.6;
// A trial needs no more requests than these where the move has too few: they show a bad version on any route that has a
// fair part of them.
constexpr double sufficientTrialRequests = 100;
// Requests expected in the remaining time count only in part, since traffic may fall.
constexpr double futureTrafficWeight = 0.9;
// Sessions that have moved stay on the new version, so the trial begins with a part of what the exposure would allow
// and grows as the counts show how many requests its sessions send.
constexpr double cautiousShare = 0.85;
constexpr double minimumShare = 0.02;
constexpr double maximumShare = 0.6;
// The trial of sessions starts on all servers of the new version, which shows slow first bytes, and then loads a few of
// them. These are the time of the first phase and the share of the trial's time that it takes when the time limit is
// short.
constexpr double maximumUnloadedSeconds = 3;
constexpr double unloadedTimeShare = 0.6;
// Shares of the time limit.
constexpr double sessionlessTrialStart = 0.25;
constexpr double sessionTrialStart = 0.5;
constexpr double maximumMoveTimeShare = 0.1;
// In this time all daemons move, and the completion is stored.
constexpr double minimumMoveSeconds = 1;
// In this time most requests on servers of other versions end.
constexpr double maximumMoveSeconds = 2;
// Traffic may rise during the move.
constexpr double moveTrafficFactor = 1.25;
// Most daemons have learned of the decision after this time, or this share of the time limit if that is shorter. The
// others move a little later, still before the completion.
constexpr double maximumDecisionSpreadSeconds = 0.75;
constexpr double maximumDecisionSpreadShare = 0.1;
// Daemons see an order at least this much after the operator has given it, from when the time limit counts.
constexpr double minimumOrderDelaySeconds = 0.15;
// Counts of other daemons are at most this old.
constexpr double reportDelaySeconds = 1.5;
constexpr duration trialWindowPeriod = std::chrono::milliseconds(2000);
// The budget is spread over at least this time.
constexpr double minimumSpreadSeconds = 1;
// Time over which the request rate is measured.
constexpr duration ratePeriod = std::chrono::milliseconds(1500);

uint64_t totalSent(const rollout_row& row)
{
    const route_answers total = row.evidence.total();
    return total.target.sent + total.others.sent;
}

double secondsLeft(const rollout_row& row, time_point now)
{
    return toSeconds(row.order.timeLimit) - toSeconds(now - row.startTime) - minimumOrderDelaySeconds;
}

// True if a new measurement was made.
bool measureRate(rollout_row& row, time_point now)
{
    const duration elapsed = now - row.rateMeasuredAt;
    if (row.rateMeasuredAt != time_point() && elapsed < ratePeriod)
        return false;
    const uint64_t sent = totalSent(row);
    const uint64_t before = std::exchange(row.sentAtRateMeasurement, sent);
    const bool isFirst = std::exchange(row.rateMeasuredAt, now) == time_point();
    // A daemon that has started during the roll-out receives the counts of the others at once.
    if (isFirst || before == 0 || sent < before)
        return true;
    const double rate = static_cast<double>(sent - before) / toSeconds(elapsed);
    row.rateTrend = row.requestsPerSecond > 0 ? rate - row.requestsPerSecond : 0;
    row.requestsPerSecond = rate;
    return true;
}

// Mean over the roll-out so far, for forecasts over several seconds.
double meanRate(const rollout_row& row, time_point now)
{
    return static_cast<double>(totalSent(row)) / std::max(toSeconds(now - row.startTime), 1.0);
}

// Highest rate to be expected in the next seconds: traffic that rises is taken to rise further.
double expectedRate(const rollout_row& row, time_point now)
{
    return std::max(row.requestsPerSecond + std::max(row.rateTrend, 0.0), meanRate(row, now));
}

double unloadedPhaseSeconds(const rollout_row& row)
{
    return std::min(maximumUnloadedSeconds,
        toSeconds(row.order.timeLimit) * (1 - maximumMoveTimeShare - sessionTrialStart) * unloadedTimeShare);
}

double maximumMoveTime(const rollout_row& row)
{
    return std::min(maximumMoveSeconds, toSeconds(row.order.timeLimit) * maximumMoveTimeShare);
}

double decisionSpreadSeconds(const rollout_row& row)
{
    return std::min(maximumDecisionSpreadSeconds, toSeconds(row.order.timeLimit) * maximumDecisionSpreadShare);
}

} // namespace

double elapsedShare(const rollout_row& row, time_point now)
{
    return toSeconds(now - row.startTime) / std::max(toSeconds(row.order.timeLimit), 1.0);
}

void rollout_trial::advance(rollout_row& row, time_point now) const
{
    const bool hasNewRate = measureRate(row, now);
    row.share = 0;
    row.takesSessionlessRequests = false;
    row.concentratesLoad = false;
    const bool loadsServers = row.trialShare && toSeconds(now - row.trialStarted) >= unloadedPhaseSeconds(row);
    // Once a trial of sessions loads servers, it keeps to the same ones.
    if (!loadsServers)
        row.trialWindowIndex = static_cast<uint64_t>((now - row.startTime) / trialWindowPeriod);
    if (row.rejected)
        return;
    if (row.moveStarted) {
        row.share = 1;
        row.takesSessionlessRequests = true;
        return;
    }
    row.takesSessionlessRequests = inTrialWindow(row, now);
    row.concentratesLoad = row.takesSessionlessRequests;
    if (elapsedShare(row, now) < sessionTrialStart)
        return;
    if (!row.trialShare) {
        row.trialShare = trialPart(row, now) * cautiousShare;
        row.trialStarted = now;
    } else if (hasNewRate) {
        *row.trialShare += additionalShare(row, now) * cautiousShare;
    }
    row.trialShare = std::clamp(*row.trialShare, minimumShare, maximumShare);
    row.concentratesLoad = loadsServers;
    row.share = *row.trialShare;
}

bool rollout_trial::isDecisionDue(const rollout_row& row, time_point now) const
{
    return secondsLeft(row, now) <= moveSeconds(row, now) + decisionSpreadSeconds(row);
}

bool rollout_trial::mayMove(const rollout_row& row, time_point now) const
{
    return secondsLeft(row, now) <= moveSeconds(row, now);
}

double rollout_trial::plannedExposure(const rollout_row& row, time_point now) const
{
    const double left = std::max(secondsLeft(row, now), 0.0);
    const double requests = static_cast<double>(totalSent(row)) + meanRate(row, now) * left * futureTrafficWeight;
    return (m_exposure.share * requests + m_exposure.slack) * plannedExposureShare;
}

double rollout_trial::exposureLeft(const rollout_row& row, time_point now) const
{
    const double unreported = row.trialShare.value_or(0) * meanRate(row, now) * reportDelaySeconds;
    return plannedExposure(row, now) - static_cast<double>(row.evidence.total().target.sent) - unreported;
}

double rollout_trial::moveExposure(const rollout_row& row, time_point now) const
{
    const double planned = plannedExposure(row, now);
    const double rate = expectedRate(row, now) * moveTrafficFactor;
    const double least = std::min(rate * minimumMoveSeconds, planned * maximumMoveExposureShare);
    const double most = std::max(rate * maximumMoveTime(row), least);
    return std::clamp(planned - sufficientTrialRequests, least, most);
}

double rollout_trial::trialExposureLeft(const rollout_row& row, time_point now) const
{
    return exposureLeft(row, now) - moveExposure(row, now);
}

double rollout_trial::moveSeconds(const rollout_row& row, time_point now) const
{
    const double rate = expectedRate(row, now) * moveTrafficFactor;
    const double allowed = rate > 0 ? exposureLeft(row, now) / rate : maximumMoveTime(row);
    return std::clamp(allowed, 0.0, maximumMoveTime(row));
}

double rollout_trial::trialSecondsLeft(const rollout_row& row, time_point now) const
{
    const double move = moveExposure(row, now) / std::max(expectedRate(row, now) * moveTrafficFactor, 1.0);
    return std::max(secondsLeft(row, now) - move, minimumSpreadSeconds);
}

double rollout_trial::trialPart(const rollout_row& row, time_point now) const
{
    const double requests = expectedRate(row, now) * trialSecondsLeft(row, now);
    return requests <= 0 ? 0 : std::clamp(trialExposureLeft(row, now) / requests, 0.0, maximumShare);
}

double rollout_trial::additionalShare(const rollout_row& row, time_point now) const
{
    return std::max(trialPart(row, now) - *row.trialShare, 0.0);
}

bool rollout_trial::inTrialWindow(const rollout_row& row, time_point now) const
{
    if (elapsedShare(row, now) < sessionlessTrialStart)
        return false;
    const double position
        = std::fmod(toSeconds(now - row.startTime), toSeconds(trialWindowPeriod)) / toSeconds(trialWindowPeriod);
    // Without sessions the part can change at any time, so all of it is used before the decision.
    const double seconds = std::max(trialSecondsLeft(row, now) - decisionSpreadSeconds(row), minimumSpreadSeconds);
    return position < std::min(trialExposureLeft(row, now) / std::max(meanRate(row, now) * seconds, 1.0), maximumShare);
}

} // namespace pollen
