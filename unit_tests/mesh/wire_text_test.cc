#include <gtest/gtest.h>

#include <string>

#include "mesh/message_codec.h"

namespace camphor {
namespace {

TEST(DecodeMeshMessage, TextContainsNul_IsRejected) {
  const std::string name = "host-with-nul";
  std::string bytes = EncodeMeshMessage(
      RecordsMessage{.hosts = {HostRecord{.host = HostId(name)}}});
  const std::size_t offset = bytes.find(name);
  ASSERT_NE(offset, std::string::npos);
  std::string reason;
  EXPECT_TRUE(DecodeMeshMessage(bytes, reason)) << reason;
  bytes[offset + 4] = '\0';
  EXPECT_FALSE(DecodeMeshMessage(bytes, reason));
  EXPECT_NE(reason.find("NUL"), std::string::npos) << reason;
}

}  // namespace
}  // namespace camphor
