#include "core/config/rollout_key.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(RolloutKeyParse, ValidId_RoundTrips) {
  for (const RolloutKey& key : {RolloutKey{.pool = PoolName("billing"),
                               .from = TargetVersion("v1"),
                               .to = TargetVersion("v2"),
                               .attempt = 3},
                                RolloutKey{.pool = PoolName("a/b"),
                                .to = TargetVersion("v2"),
                                .attempt = 1ULL << 52}}) {
    EXPECT_EQ(RolloutKey::Parse(key.id()), key);
  }
}

TEST(RolloutKeyParse, InvalidId_ReturnsNullopt) {
  for (const char* text : {"", "a", "a/b/c", "a/b/c/", "a/b/c/x", "a/b/c/1x"})
    EXPECT_FALSE(RolloutKey::Parse(RolloutId(text))) << text;
}

}  // namespace
}  // namespace camphor
