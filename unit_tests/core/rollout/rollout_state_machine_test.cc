#include "core/rollout/rollout_state_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace camphor {
namespace {

TEST(RolloutStateMachineProcess, AnyEvents_EndAtMostOnceAndNeverFall) {
  EXPECT_TRUE(rc::check([] {
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    RolloutStateMachine machine;
    RolloutStage stage = machine.stage();
    int ends = 0;
    for (const int event : events) {
      const bool taken = machine.Process(static_cast<RolloutEvent>(event));
      RC_ASSERT(taken == (machine.stage() != stage));
      RC_ASSERT(machine.stage() >= stage);
      stage = machine.stage();
      if (taken && stage >= RolloutStage::kDone) ++ends;
    }
    RC_ASSERT(ends <= 1);
  }));
}

TEST(RolloutStateMachineAdopt, AnyStage_GoesThere) {
  for (int stage = 0; stage <= static_cast<int>(RolloutStage::kRolledBack);
       ++stage) {
    RolloutStateMachine machine;
    machine.Adopt(static_cast<RolloutStage>(stage));
    EXPECT_EQ(machine.stage(), static_cast<RolloutStage>(stage));
  }
}

TEST(RolloutStateMachineAdopt, RecordedOutcomeAgainstAnother_ReplacesIt) {
  RolloutStateMachine machine;
  machine.Adopt(RolloutStage::kRolledBack);
  machine.Adopt(RolloutStage::kDone);
  EXPECT_EQ(machine.stage(), RolloutStage::kDone);
  machine.Adopt(RolloutStage::kRolledBack);
  EXPECT_EQ(machine.stage(), RolloutStage::kRolledBack);
}

}  // namespace
}  // namespace camphor
