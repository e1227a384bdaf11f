#include "core/rollout/rollout_state_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace camphor {
namespace {

TEST(RolloutStateMachineProcess,
     ArbitraryEvents_EndsAtMostOnceAndNeverGoesBack) {
  EXPECT_TRUE(rc::check([] {
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    RolloutStateMachine machine;
    RolloutStage stage = machine.stage();
    int ends = 0;
    for (const int event : events) {
      const bool processed = machine.Process(static_cast<RolloutEvent>(event));
      RC_ASSERT(processed == (machine.stage() != stage));
      RC_ASSERT(machine.stage() >= stage);
      stage = machine.stage();
      if (processed && stage >= RolloutStage::kDone) ++ends;
    }
    RC_ASSERT(ends <= 1);
  }));
}

TEST(RolloutStateMachineAdopt, AnyStage_IsReached) {
  for (int stage = 0; stage <= static_cast<int>(RolloutStage::kRolledBack);
       ++stage) {
    RolloutStateMachine machine;
    machine.Adopt(static_cast<RolloutStage>(stage));
    EXPECT_EQ(machine.stage(), static_cast<RolloutStage>(stage));
  }
}

TEST(RolloutStateMachineAdopt, DifferentRecordedOutcome_ReplacesCurrentOne) {
  RolloutStateMachine machine;
  machine.Adopt(RolloutStage::kRolledBack);
  machine.Adopt(RolloutStage::kDone);
  EXPECT_EQ(machine.stage(), RolloutStage::kDone);
  machine.Adopt(RolloutStage::kRolledBack);
  EXPECT_EQ(machine.stage(), RolloutStage::kRolledBack);
}

}  // namespace
}  // namespace camphor
