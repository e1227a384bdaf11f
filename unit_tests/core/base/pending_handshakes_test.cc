#include "core/base/pending_handshakes.h"

#include <gtest/gtest.h>

#include <list>
#include <string>
#include <vector>

namespace camphor {
namespace {

/// Records which connections were displaced, by the order of their arrival.
class PendingHandshakesTest : public testing::Test {
 protected:
  PendingHandshakes::Place Take(const std::string& address) {
    const int number = ++taken_;
    return handshakes_.Take(address,
                            [this, number] { displaced_.push_back(number); });
  }

  /// Takes a place that is kept until the end of the test.
  void TakeAndKeep(const std::string& address) {
    places_.push_back(Take(address));
  }

  PendingHandshakes handshakes_;
  std::list<PendingHandshakes::Place> places_;
  std::vector<int> displaced_;
  int taken_ = 0;
};

using PendingHandshakesTake = PendingHandshakesTest;
using PendingHandshakesPlacesBeside = PendingHandshakesTest;

TEST_F(PendingHandshakesTake, PlacesFree_NoneDisplaced) {
  handshakes_.SetPlaces(2);
  TakeAndKeep("a");
  TakeAndKeep("a");
  EXPECT_TRUE(displaced_.empty());
  EXPECT_EQ(handshakes_.size(), 2U);
}

TEST_F(PendingHandshakesTake, OneAddressHoldsAll_ItsOldestIsDisplaced) {
  handshakes_.SetPlaces(2);
  for (int index = 0; index < 4; ++index) TakeAndKeep("a");
  EXPECT_EQ(displaced_, (std::vector<int>{1, 2}));
  EXPECT_EQ(handshakes_.size(), 2U);
}

// Guards against a crowd at one address that displaces the handshakes of hosts
// at others, which are older.
TEST_F(PendingHandshakesTake, CrowdAtOneAddress_OtherAddressesKeepTheirs) {
  handshakes_.SetPlaces(3);
  TakeAndKeep("host");
  for (int index = 0; index < 10; ++index) TakeAndKeep("crowd");
  EXPECT_EQ(displaced_.size(), 8U);
  EXPECT_EQ(displaced_.front(), 2);
}

TEST_F(PendingHandshakesTake, EachAddressHoldsOne_OldestIsDisplaced) {
  handshakes_.SetPlaces(2);
  TakeAndKeep("b");
  TakeAndKeep("c");
  TakeAndKeep("a");
  EXPECT_EQ(displaced_, std::vector<int>{1});
}

TEST_F(PendingHandshakesTake, PlaceGivenBack_NextOneDisplacesNone) {
  handshakes_.SetPlaces(1);
  { const PendingHandshakes::Place place = Take("a"); }
  EXPECT_EQ(handshakes_.size(), 0U);
  TakeAndKeep("a");
  EXPECT_TRUE(displaced_.empty());
}

TEST_F(PendingHandshakesTake, FewerPlacesThanTaken_SeveralAreDisplaced) {
  handshakes_.SetPlaces(3);
  for (int index = 0; index < 3; ++index) TakeAndKeep("a");
  handshakes_.SetPlaces(1);
  TakeAndKeep("a");
  EXPECT_EQ(displaced_, (std::vector<int>{1, 2, 3}));
}

TEST_F(PendingHandshakesPlacesBeside, FewAuthenticated_HalfOrLimit) {
  EXPECT_EQ(PendingHandshakes::PlacesBeside(0, 256, 1000), 128U);
  EXPECT_EQ(PendingHandshakes::PlacesBeside(0, 256, 50), 50U);
}

TEST_F(PendingHandshakesPlacesBeside, MostPlacesAuthenticated_OnlyWhatIsLeft) {
  EXPECT_EQ(PendingHandshakes::PlacesBeside(200, 256, 1000), 56U);
}

// Guards against hosts that can not authenticate because all places are taken.
TEST_F(PendingHandshakesPlacesBeside, AllPlacesAuthenticated_SixteenthIsLeft) {
  EXPECT_EQ(PendingHandshakes::PlacesBeside(256, 256, 1000), 16U);
  EXPECT_EQ(PendingHandshakes::PlacesBeside(1, 1, 1), 1U);
}

}  // namespace
}  // namespace camphor
