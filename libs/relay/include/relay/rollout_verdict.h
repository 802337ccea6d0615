#pragma once

#include <relay/rollout_evidence.h>

namespace pollen {

enum class rollout_verdict {
    // Too few answers.
    Undecided,
    Good,
    Bad,
};

const char* toText(rollout_verdict verdict);

// Judges a new version by its answers compared with those of the other versions over the same time, on all routes
// together and on each, with sequential probability ratio tests on the shares of failed answers and of slow first
// bytes.
rollout_verdict judgeRollout(const rollout_evidence& evidence);

// Whether the evidence points to a bad version, for decisions that cannot wait for more answers. A version without any
// answer counts as bad once the others have answered enough requests.
bool isProbablyBad(const rollout_evidence& evidence);

} // namespace pollen
