#include "harness/address_block.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(AddressBlockReserve, TwoBlocks_HaveDifferentAddresses) {
  const auto first = AddressBlock::Reserve();
  const auto second = AddressBlock::Reserve();
  ASSERT_TRUE(first && second);
  EXPECT_NE(first->Address(1), second->Address(1));
  EXPECT_TRUE(first->Address(1000).starts_with("127."));
}

}  // namespace
}  // namespace camphor
