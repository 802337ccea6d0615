#pragma once

#include <relay/rollout_table.h>

namespace pollen {

// Requests that a bad version may get before it is rolled back: a share of all that reach its service within the time
// timeLimit, and a slack.
struct exposure_limit {
    double share = 0;
    double slack = 0;
};

// Decides which requests try a new version at which time, within the exposure that the users allow.
//
// A session has to stay with its version, and requests of one session reach several daemons of which none knows whether
// it began before the roll-out. So sessions stay on the old version in the first half; in the second, a share of them
// chosen by hash goes to the new one for good. Requests without a session come and go in pulses: while a pulse lasts
// all of them try the new version, so that its servers meet the load that they would carry.
class rollout_trial {
public:
    explicit rollout_trial(exposure_limit exposure)
        : m_exposure(exposure)
    {
    }

    // Sets what the row says of the trial at this moment. Sessions' share is fixed when their trial begins.
    void advance(rollout_row& row, time_point now) const;

    // The new version has been tried in all ways, so that it may be found good.
    static bool hasTestedAllLoads(const rollout_row& row, time_point now);

    // It is time to decide: the trial's time is over, or the exposure is spent.
    bool isOver(const rollout_row& row, time_point now) const;

private:
    // Requests of the trial that are left of a part of the exposure.
    double budgetLeft(const rollout_row& row, double part, time_point now) const;
    // Share of sessions that uses a part of what is left of the exposure within so many seconds.
    double sessionShare(const rollout_row& row, double seconds, double partOfBudget, time_point now) const;
    bool inTrialWindow(const rollout_row& row, time_point now) const;

    exposure_limit m_exposure;
};

// Part of the timeLimit time that has passed.
double elapsedShare(const rollout_row& row, time_point now);

} // namespace pollen
