#include "core/config/accept_state_machine.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace camphor {
namespace {

// Records the steps that a machine takes.
class AcceptStateMachineTest : public testing::Test {
 protected:
  AcceptStateMachineTest()
      : machine_(
            {.base_version = 4,
             .max_failures = 3,
             .read_head = [this] { steps_.push_back("head"); },
             .store_object = [this] { steps_.push_back("store"); },
             .commit = [this] { steps_.push_back("commit"); },
             .read_operation = [this] { steps_.push_back("operation"); },
             .schedule_retry = [this] { steps_.push_back("wait"); },
             .finish = [this](AcceptOutcome outcome) { ended_ = outcome; }}) {
    machine_.Start();
  }

  void ToCommit() {
    machine_.OnHead(4);
    machine_.OnObjectStored();
  }

  std::vector<std::string> steps_;
  std::optional<AcceptOutcome> ended_;
  AcceptStateMachine machine_;
};

TEST_F(AcceptStateMachineTest, EveryStepSucceeds_IsAcceptedAfterTheObject) {
  ToCommit();
  machine_.OnCommitted();
  EXPECT_EQ(steps_, (std::vector<std::string>{"head", "store", "commit"}));
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest, HeadMovedByOther_IsConflict) {
  machine_.OnHead(5);
  machine_.OnOperationMissing();
  EXPECT_EQ(ended_, AcceptOutcome::kConflict);
}

TEST_F(AcceptStateMachineTest, HeadMovedByOwnEarlierRun_IsAccepted) {
  machine_.OnHead(5);
  machine_.OnOperationFound();
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest,
       LostAnswerThatTookEffect_IsAcceptedWithoutCommit) {
  ToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnOperationFound();
  EXPECT_EQ(steps_,
            (std::vector<std::string>{"head", "store", "commit", "operation"}));
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest,
       LostAnswerWithoutEffect_CommitsAgainAfterReading) {
  ToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnOperationMissing();
  machine_.Retry();
  machine_.OnCommitted();
  EXPECT_EQ(steps_, (std::vector<std::string>{"head", "store", "commit",
                                              "operation", "wait", "commit"}));
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest,
       LostCommitLandsLate_ConflictIsSettledAsAccepted) {
  ToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnOperationMissing();
  machine_.Retry();
  machine_.OnCommitConflict();
  machine_.OnOperationFound();
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest, CommitRefusedForTooLong_IsUnavailable) {
  ToCommit();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  EXPECT_EQ(ended_, AcceptOutcome::kUnavailable);
}

TEST_F(AcceptStateMachineTest, LostAnswerAndPlatformOut_IsUnknown) {
  ToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  EXPECT_EQ(ended_, AcceptOutcome::kUnknown);
}

}  // namespace
}  // namespace camphor
