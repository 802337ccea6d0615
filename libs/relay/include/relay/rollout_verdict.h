#pragma once

#include <relay/rollout.h>

namespace pollen {

enum class rollout_verdict {
    // Too few answers to tell.
    Open,
    Good,
    Bad,
};

const char* toText(rollout_verdict verdict);

// Judges a new version by its answers against those of the other versions in the same time, with sequential probability
// ratio tests on the share of bad answers and on that of slow first bytes.
rollout_verdict judgeRollout(const version_answers& target, const version_answers& others);

// Whether what has been seen speaks rather for a bad version, where there is no time to see more.
bool seemsBad(const version_answers& target, const version_answers& others);

} // namespace pollen
