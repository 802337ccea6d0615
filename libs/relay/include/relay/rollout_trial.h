#pragma once

#include <relay/rollout_table.h>

namespace pollen {

// Limit of the requests that a bad version may get before it is rolled back: a share of all requests to its service
// within the time limit, plus a fixed number of requests.
struct exposure_limit {
    double share = 0;
    double slack = 0;
};

// Decides which requests try a new version and when, within the exposure that the users allow.
//
// A session has to stay on its version, and its requests reach several daemons, none of which knows whether the session
// began before the roll-out. Sessions therefore stay on the old version during the first half of the time limit; in the
// second half, a share of them chosen by hash moves to the new version for good. Requests without a session try the new
// version in trial windows: during a window all of them go to it, so that its servers get their full load.
class rollout_trial {
public:
    explicit rollout_trial(exposure_limit exposure)
        : m_exposure(exposure)
    {
    }

    // Updates the trial's fields of the row for the time `now`.
    void advance(rollout_row& row, time_point now) const;

    // Whether the version has to be accepted or rejected, so that all daemons know of it when the move begins.
    bool isDecisionDue(const rollout_row& row, time_point now) const;

    // Whether the exposure left covers all requests until the time limit. An accepted version gets all requests from
    // then on, and no sooner: failures that the trial could not cause would otherwise reach more callers than allowed.
    bool mayMove(const rollout_row& row, time_point now) const;

private:
    // Requests that the new version may get until the time limit, with a reserve.
    double plannedExposure(const rollout_row& row, time_point now) const;
    double exposureLeft(const rollout_row& row, time_point now) const;
    // The part of the planned exposure that is kept for the move.
    double moveExposure(const rollout_row& row, time_point now) const;
    // The part of exposureLeft() that is not kept for the move.
    double trialExposureLeft(const rollout_row& row, time_point now) const;
    // How long before the time limit all requests may move to the new version.
    double moveSeconds(const rollout_row& row, time_point now) const;
    double trialSecondsLeft(const rollout_row& row, time_point now) const;
    // Share of the requests that uses up the trial's part of the exposure until the move.
    double trialPart(const rollout_row& row, time_point now) const;
    // By how much the share of sessions may grow.
    double additionalShare(const rollout_row& row, time_point now) const;
    bool inTrialWindow(const rollout_row& row, time_point now) const;

    exposure_limit m_exposure;
};

// Elapsed share of the time limit.
double elapsedShare(const rollout_row& row, time_point now);

} // namespace pollen
