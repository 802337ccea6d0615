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

    // Whether the new version has been tried both without and with concentrated load, so that it may be accepted.
    static bool hasTestedAllLoads(const rollout_row& row, time_point now);

    // Whether a decision is due, because the trial's time is over or the exposure is used up.
    bool isOver(const rollout_row& row, time_point now) const;

private:
    // Requests left to the trial out of the given share of the exposure.
    double budgetLeft(const rollout_row& row, double part, time_point now) const;
    // Share of sessions that uses the given share of the remaining budget within the given time.
    double sessionShare(const rollout_row& row, double seconds, double partOfBudget, time_point now) const;
    bool inTrialWindow(const rollout_row& row, time_point now) const;

    exposure_limit m_exposure;
};

// Elapsed share of the time limit.
double elapsedShare(const rollout_row& row, time_point now);

} // namespace pollen
