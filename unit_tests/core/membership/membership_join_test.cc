#include <gtest/gtest.h>

#include "unit_tests/core/replication/fake_mesh.h"

namespace camphor {
namespace {

// Hosts that start shortly after one another may find each other in pairs: the
// mesh must not stay in parts until the rare search for lost hosts.
TEST(MembershipJoin, PairsThatStartApart_FormOneMeshWithinSeconds) {
  int in_parts = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    FakeMesh mesh({.hosts = 4, .seed = seed});
    for (int host = 0; host < 4; ++host) mesh.Kill(host);
    for (int host : {1, 3}) mesh.Start(host);
    mesh.Run(Milliseconds(500));
    for (int host : {0, 2}) mesh.Start(host);
    const bool one = mesh.RunUntil([&] { return mesh.AllAgree(); }, Seconds(5));
    if (!one) ++in_parts;
  }
  EXPECT_EQ(in_parts, 0);
}

}  // namespace
}  // namespace camphor
