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

// Judges a new version by its answers against those of the other versions in the same time, with a sequential
// probability ratio test on the share of bad answers.
rollout_verdict judgeRollout(const version_answers& target, const version_answers& others);

} // namespace pollen
