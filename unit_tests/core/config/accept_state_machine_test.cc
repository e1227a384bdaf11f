#include "core/config/accept_state_machine.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace camphor {
namespace {

// Records the steps that the state machine requests, and its outcome.
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
             .finish = [this](AcceptOutcome outcome) { outcome_ = outcome; }}) {
    machine_.Start();
  }

  void AdvanceToCommit() {
    machine_.OnHead(4);
    machine_.OnObjectStored();
  }

  std::vector<std::string> steps_;
  std::optional<AcceptOutcome> outcome_;
  AcceptStateMachine machine_;
};

TEST_F(AcceptStateMachineTest, AllStepsSucceed_StoresSnapshotThenAccepts) {
  AdvanceToCommit();
  machine_.OnCommitted();
  EXPECT_EQ(steps_, (std::vector<std::string>{"head", "store", "commit"}));
  EXPECT_EQ(outcome_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest, HeadChangedByAnotherEdit_IsConflict) {
  machine_.OnHead(5);
  machine_.OnOperationMissing();
  EXPECT_EQ(outcome_, AcceptOutcome::kConflict);
}

TEST_F(AcceptStateMachineTest, HeadChangedByEarlierAttempt_IsAccepted) {
  machine_.OnHead(5);
  machine_.OnOperationFound();
  EXPECT_EQ(outcome_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest,
       CommitResponseLostButApplied_IsAcceptedWithoutSecondCommit) {
  AdvanceToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnOperationFound();
  EXPECT_EQ(steps_,
            (std::vector<std::string>{"head", "store", "commit", "operation"}));
  EXPECT_EQ(outcome_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest,
       CommitResponseLostAndNotApplied_ReadsOperationThenCommitsAgain) {
  AdvanceToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnOperationMissing();
  machine_.Retry();
  machine_.OnCommitted();
  EXPECT_EQ(steps_, (std::vector<std::string>{"head", "store", "commit",
                                              "operation", "wait", "commit"}));
  EXPECT_EQ(outcome_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest, DelayedCommitConflictsWithRetry_IsAccepted) {
  AdvanceToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnOperationMissing();
  machine_.Retry();
  machine_.OnCommitConflict();
  machine_.OnOperationFound();
  EXPECT_EQ(outcome_, AcceptOutcome::kAccepted);
}

TEST_F(AcceptStateMachineTest, CommitFailsMaxFailuresTimes_IsUnavailable) {
  AdvanceToCommit();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  EXPECT_EQ(outcome_, AcceptOutcome::kUnavailable);
}

TEST_F(AcceptStateMachineTest, CommitResponseLostAndReadsFail_IsUnknown) {
  AdvanceToCommit();
  machine_.OnCommitResponseLost();
  machine_.OnStepFailed();
  machine_.Retry();
  machine_.OnStepFailed();
  EXPECT_EQ(outcome_, AcceptOutcome::kUnknown);
}

}  // namespace
}  // namespace camphor
