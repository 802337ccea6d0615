#pragma once

#include <relay/rollout_evidence.h>

namespace pollen {

enum class rollout_verdict {
    // Too few answers to tell.
    Undecided,
    Good,
    Bad,
};

const char* toText(rollout_verdict verdict);

// Judges a new version by its answers against those of the other versions in the same time, on all routes together and
// on each, with sequential probability ratio tests on the shares of bad answers and of slow first bytes.
rollout_verdict judgeRollout(const rollout_evidence& evidence);

// Whether what has been seen speaks rather for a bad version, where there is no time to see more. A version that has
// answered nothing while the others answered plenty counts as bad.
bool isProbablyBad(const rollout_evidence& evidence);

} // namespace pollen
