#include <algorithm>
#include <cmath>
#include <relay/rollout_trial.h>

namespace pollen {

namespace {

// Share of the exposure available to a trial; the rest covers requests that daemons have sent but not yet reported.
constexpr double usableExposureShare = 0.85;
// Share of the exposure at which a trial ends at once.
constexpr double finalExposureShare = 0.95;
// Requests expected in the remaining time count only in part, since traffic may fall.
constexpr double futureTrafficWeight = 0.5;
constexpr double minimumShare = 0.05;
constexpr double maximumShare = 0.6;
// The trial of sessions starts on all servers of the new version, which shows slow first bytes, and then loads a few of
// them. These are the times of both phases and the share of the trial's time that the first takes when the time limit
// is short.
constexpr double maximumUnloadedSeconds = 3;
constexpr double loadedSeconds = 3.5;
constexpr double unloadedTimeShare = 0.6;
// Share of the exposure used by the first phase.
constexpr double unloadedExposureShare = 0.5;
// Shares of the time limit.
constexpr double sessionlessTrialStart = 0.25;
constexpr double sessionTrialStart = 0.5;
constexpr double decisionDeadline = 0.82;
constexpr duration trialWindowPeriod = std::chrono::milliseconds(2000);
// The budget is spread over at least this time.
constexpr double minimumSpreadSeconds = 1;

double requestsPerSecond(const rollout_row& row, time_point now)
{
    const route_answers total = row.evidence.total();
    const double seconds = std::max(toSeconds(now - row.startTime), 1.0);
    return static_cast<double>(total.target.sent + total.others.sent) / seconds;
}

double secondsUntilDecision(const rollout_row& row, time_point now)
{
    return toSeconds(row.order.timeLimit) * decisionDeadline - toSeconds(now - row.startTime);
}

double unloadedPhaseSeconds(const rollout_row& row)
{
    return std::min(maximumUnloadedSeconds,
        toSeconds(row.order.timeLimit) * (decisionDeadline - sessionTrialStart) * unloadedTimeShare);
}

} // namespace

double elapsedShare(const rollout_row& row, time_point now)
{
    return toSeconds(now - row.startTime) / std::max(toSeconds(row.order.timeLimit), 1.0);
}

void rollout_trial::advance(rollout_row& row, time_point now) const
{
    row.share = 0;
    row.takesSessionlessRequests = false;
    row.concentratesLoad = false;
    // Once a trial of sessions loads servers, it keeps to the same ones.
    if (!row.loadPhaseShare)
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
        row.trialShare = sessionShare(row, unloadedPhaseSeconds(row), unloadedExposureShare, now);
        row.trialStarted = now;
    }
    row.concentratesLoad = toSeconds(now - row.trialStarted) >= unloadedPhaseSeconds(row);
    if (row.concentratesLoad && !row.loadPhaseShare)
        row.loadPhaseShare = std::max(*row.trialShare, sessionShare(row, loadedSeconds, 1, now));
    row.share = row.loadPhaseShare.value_or(*row.trialShare);
}

bool rollout_trial::hasTestedAllLoads(const rollout_row& row, time_point now)
{
    return row.trialShare && toSeconds(now - row.trialStarted) >= unloadedPhaseSeconds(row) + loadedSeconds;
}

bool rollout_trial::isOver(const rollout_row& row, time_point now) const
{
    const double passed = elapsedShare(row, now);
    return passed >= decisionDeadline || (row.trialShare && budgetLeft(row, finalExposureShare, now) <= 0);
}

double rollout_trial::budgetLeft(const rollout_row& row, double part, time_point now) const
{
    const route_answers total = row.evidence.total();
    const double secondsLeft = std::max(0.0, toSeconds(row.order.timeLimit) - toSeconds(now - row.startTime));
    const double requests = static_cast<double>(total.target.sent + total.others.sent)
        + requestsPerSecond(row, now) * secondsLeft * futureTrafficWeight;
    const double exposure = m_exposure.share * requests + m_exposure.slack;
    return exposure * part - static_cast<double>(total.target.sent);
}

double rollout_trial::sessionShare(const rollout_row& row, double seconds, double partOfBudget, time_point now) const
{
    const double requests = requestsPerSecond(row, now) * seconds;
    if (requests <= 0)
        return minimumShare;
    return std::clamp(budgetLeft(row, usableExposureShare, now) * partOfBudget / requests, minimumShare, maximumShare);
}

bool rollout_trial::inTrialWindow(const rollout_row& row, time_point now) const
{
    if (elapsedShare(row, now) < sessionlessTrialStart)
        return false;
    const double requests
        = requestsPerSecond(row, now) * std::max(secondsUntilDecision(row, now), minimumSpreadSeconds);
    const double part = requests <= 0
        ? maximumShare
        : std::clamp(budgetLeft(row, usableExposureShare, now) / requests, 0.0, maximumShare);
    const double position
        = std::fmod(toSeconds(now - row.startTime), toSeconds(trialWindowPeriod)) / toSeconds(trialWindowPeriod);
    return position < part;
}

} // namespace pollen
