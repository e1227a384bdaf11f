#include "platform/base64.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace camphor {
namespace {

TEST(Base64Decode, EncodedBytes_ReturnsOriginalBytes) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }));
}

TEST(Base64Encode, KnownBytes_ReturnsKnownText) {
  EXPECT_EQ(EncodeBase64("node-1"), "bm9kZS0x");
  EXPECT_EQ(EncodeBase64("a"), "YQ==");
  EXPECT_EQ(EncodeBase64(""), "");
}

TEST(Base64Decode, MalformedText_IsRejected) {
  for (const char* text : {"a", "YQ=", "Y===", "Y=Q=", "YQ= ", "****"})
    EXPECT_FALSE(DecodeBase64(text)) << text;
}

}  // namespace
}  // namespace camphor
