#include "core/config/accept_machine.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace camphor {
namespace {

// Records the steps that a machine takes.
class AcceptMachineTest : public testing::Test {
 protected:
  AcceptMachineTest()
      : machine_(
            {.base_version = 4,
             .most_failures = 3,
             .read_head = [this] { steps_.push_back("head"); },
             .store_object = [this] { steps_.push_back("store"); },
             .commit = [this] { steps_.push_back("commit"); },
             .read_operation = [this] { steps_.push_back("operation"); },
             .wait = [this] { steps_.push_back("wait"); },
             .finish = [this](AcceptOutcome outcome) { ended_ = outcome; }}) {
    machine_.Start();
  }

  void ToCommit() {
    machine_.OnHead(4);
    machine_.OnObjectStored();
  }

  std::vector<std::string> steps_;
  std::optional<AcceptOutcome> ended_;
  AcceptMachine machine_;
};

TEST_F(AcceptMachineTest, EveryStepSucceeds_IsAcceptedAfterTheObject) {
  ToCommit();
  machine_.OnCommitted();
  EXPECT_EQ(steps_, (std::vector<std::string>{"head", "store", "commit"}));
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptMachineTest, HeadMovedByOther_IsConflict) {
  machine_.OnHead(5);
  machine_.OnOperationMissing();
  EXPECT_EQ(ended_, AcceptOutcome::kConflict);
}

TEST_F(AcceptMachineTest, HeadMovedByOwnEarlierRun_IsAccepted) {
  machine_.OnHead(5);
  machine_.OnOperationFound();
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptMachineTest, LostAnswerThatTookEffect_IsAcceptedWithoutCommit) {
  ToCommit();
  machine_.OnCommitLost();
  machine_.OnOperationFound();
  EXPECT_EQ(steps_,
            (std::vector<std::string>{"head", "store", "commit", "operation"}));
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptMachineTest, LostAnswerWithoutEffect_CommitsAgainAfterReading) {
  ToCommit();
  machine_.OnCommitLost();
  machine_.OnOperationMissing();
  machine_.Retry();
  machine_.OnCommitted();
  EXPECT_EQ(steps_, (std::vector<std::string>{"head", "store", "commit",
                                              "operation", "wait", "commit"}));
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptMachineTest, LostCommitLandsLate_ConflictIsSettledAsAccepted) {
  ToCommit();
  machine_.OnCommitLost();
  machine_.OnOperationMissing();
  machine_.Retry();
  machine_.OnCommitConflict();
  machine_.OnOperationFound();
  EXPECT_EQ(ended_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptMachineTest, CommitRefusedForTooLong_IsUnavailable) {
  ToCommit();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  EXPECT_EQ(ended_, AcceptOutcome::kUnavailable);
}

TEST_F(AcceptMachineTest, LostAnswerAndPlatformOut_IsUnknown) {
  ToCommit();
  machine_.OnCommitLost();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  EXPECT_EQ(ended_, AcceptOutcome::kUnknown);
}

}  // namespace
}  // namespace camphor
