#include "harness/relay.h"

#include <gtest/gtest.h>

#include "stand_ins/http/http_connection.h"
#include "stand_ins/target/target_stand_in.h"

namespace camphor {
namespace {

class RelayTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(target_.Start()) << target_.last_reason();
    relay_.emplace(Relay::Options{.listen = {.address = "127.0.0.1"},
                                  .to = target_.endpoint()});
    ASSERT_TRUE(relay_->Start()) << relay_->last_reason();
  }

  static bool Answers(HttpConnection& connection,
                      Milliseconds timeout = Seconds(10)) {
    return connection.Call({.method = "GET", .target = "/healthz"}, timeout)
        .has_value();
  }

  TargetStandIn target_{{.id = "t1", .version = "v1"}};
  std::optional<Relay> relay_;
};

TEST_F(RelayTest, SilenceOpen_LeavesNewConnectionsWorking) {
  HttpConnection open(relay_->endpoint());
  EXPECT_TRUE(Answers(open));
  relay_->SilenceOpen();
  EXPECT_FALSE(Answers(open, Milliseconds(100)));
  HttpConnection fresh(relay_->endpoint());
  EXPECT_TRUE(Answers(fresh));
}

TEST_F(RelayTest, CutAndHeal_LetsBytesThroughAgain) {
  HttpConnection connection(relay_->endpoint());
  EXPECT_TRUE(Answers(connection));
  relay_->Cut();
  HttpConnection during(relay_->endpoint());
  EXPECT_FALSE(Answers(during, Milliseconds(100)));
  relay_->Heal();
  EXPECT_TRUE(Answers(connection));
}

}  // namespace
}  // namespace camphor
