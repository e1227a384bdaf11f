#include "core/rollout/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace camphor {
namespace {

std::vector<RoutedTarget> Targets(std::size_t count) {
  std::vector<RoutedTarget> targets;
  for (std::size_t target = 0; target < count; ++target) {
    targets.push_back({.info = {.id = TargetId("t" + std::to_string(target))}});
  }
  std::ranges::sort(targets);
  return targets;
}

TEST(ChooseTargets, IncreasingCount_KeepsPreviousSelection) {
  EXPECT_TRUE(rc::check([] {
    const auto all = *rc::gen::inRange<std::size_t>(1, 30);
    const auto count = *rc::gen::inRange<std::size_t>(1, 30);
    const RolloutId rollout("pool/v1/v2/1");
    const auto few = ChooseTargets(rollout, Targets(all), count);
    const auto more = ChooseTargets(rollout, Targets(all), count + 1);
    RC_ASSERT(few.size() == std::min(all, count));
    RC_ASSERT(std::ranges::is_sorted(few));
    RC_ASSERT(std::ranges::includes(more, few));
  }));
}

TEST(ChooseTargets, ZeroCount_SelectsAll) {
  EXPECT_EQ(ChooseTargets(RolloutId("r"), Targets(9), 0), Targets(9));
}

}  // namespace
}  // namespace camphor
