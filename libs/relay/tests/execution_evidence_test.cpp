#include <gtest/gtest.h>
#include <relay/execution_evidence.h>

namespace pollen {

// Guards against REFUSED: an attempt that ended without any evidence was taken for one that has not run.
TEST(ExecutionEvidenceTest, EachAttemptMayRunUntilEvidenceShowsOtherwise)
{
    execution_evidence evidence;
    EXPECT_FALSE(evidence.mayHaveRun());
    evidence.beginAttempt();
    EXPECT_TRUE(evidence.mayHaveRun());
    evidence.attemptWasNotSent();
    EXPECT_FALSE(evidence.mayHaveRun());
    evidence.beginAttempt();
    evidence.attemptWasRefused();
    EXPECT_FALSE(evidence.mayHaveRun());
    evidence.beginAttempt();
    evidence.beginAttempt();
    evidence.attemptWasRefused();
    EXPECT_TRUE(evidence.mayHaveRun()) << "a refusal says nothing of the attempt before";
}

// Guards against REFUSED: a refusal that is read twice settled another attempt as well.
TEST(ExecutionEvidenceTest, EvidenceSettlesTheCurrentAttemptOnce)
{
    execution_evidence evidence;
    evidence.attemptWasRefused();
    evidence.beginAttempt();
    evidence.beginAttempt();
    evidence.attemptWasRefused();
    evidence.attemptWasRefused();
    evidence.attemptWasNotSent();
    EXPECT_TRUE(evidence.mayHaveRun());
}

} // namespace pollen
