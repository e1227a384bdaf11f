#include <gtest/gtest.h>

#include <string>

#include "mesh/message_codec.h"

namespace camphor {
namespace {

TEST(DecodeMeshMessage, NulWithinAText_IsRefused) {
  const std::string name = "host-with-nul";
  std::string bytes = EncodeMeshMessage(
      RecordsMessage{.hosts = {HostRecord{.host = HostId(name)}}});
  const std::size_t at = bytes.find(name);
  ASSERT_NE(at, std::string::npos);
  std::string reason;
  EXPECT_TRUE(DecodeMeshMessage(bytes, reason)) << reason;
  bytes[at + 4] = '\0';
  EXPECT_FALSE(DecodeMeshMessage(bytes, reason));
  EXPECT_NE(reason.find("NUL"), std::string::npos) << reason;
}

}  // namespace
}  // namespace camphor
