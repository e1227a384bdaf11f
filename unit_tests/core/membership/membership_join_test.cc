#include <gtest/gtest.h>

#include "unit_tests/core/replication/fake_mesh.h"

namespace camphor {
namespace {

// Hosts that start shortly after one another may form separate meshes of two.
// These must merge without waiting for the periodic attempt to reconnect a
// split mesh.
TEST(MembershipJoin, PairsStartedSeparately_FormOneMeshWithinSeconds) {
  int split = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    FakeMesh mesh({.hosts = 4, .seed = seed});
    for (int host = 0; host < 4; ++host) mesh.Kill(host);
    for (int host : {1, 3}) mesh.Start(host);
    mesh.Run(Milliseconds(500));
    for (int host : {0, 2}) mesh.Start(host);
    const bool merged =
        mesh.RunUntil([&] { return mesh.AllAgree(); }, Seconds(5));
    if (!merged) ++split;
  }
  EXPECT_EQ(split, 0);
}

}  // namespace
}  // namespace camphor
