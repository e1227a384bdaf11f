#include "harness/relay.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "harness/socket_owner.h"
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

TEST_F(RelayTest, StallOpen_NewConnectionsWork) {
  HttpConnection open(relay_->endpoint());
  EXPECT_TRUE(Answers(open));
  relay_->StallOpen();
  EXPECT_FALSE(Answers(open, Milliseconds(100)));
  HttpConnection new_connection(relay_->endpoint());
  EXPECT_TRUE(Answers(new_connection));
}

TEST_F(RelayTest, CutAndHeal_ForwardsAgain) {
  HttpConnection connection(relay_->endpoint());
  EXPECT_TRUE(Answers(connection));
  relay_->Cut();
  HttpConnection connection_during_cut(relay_->endpoint());
  EXPECT_FALSE(Answers(connection_during_cut, Milliseconds(100)));
  relay_->Heal();
  EXPECT_TRUE(Answers(connection));
}

TEST_F(RelayTest, CutFromOneProcess_OthersWork) {
  std::uint16_t cut_port = 0;
  Relay relay({.listen = {.address = "127.0.0.1"},
               .to = target_.endpoint(),
               .connector = [&](std::uint16_t port) -> std::string {
                 // The first connection belongs to the process to cut.
                 if (cut_port == 0) cut_port = port;
                 return port == cut_port ? "first" : "other";
               }});
  ASSERT_TRUE(relay.Start()) << relay.last_reason();
  HttpConnection first(relay.endpoint());
  HttpConnection other(relay.endpoint());
  EXPECT_TRUE(Answers(first));
  EXPECT_TRUE(Answers(other));
  relay.CutFrom("first");
  EXPECT_FALSE(Answers(first, Milliseconds(100)));
  EXPECT_TRUE(Answers(other));
}

TEST(FindSocketOwner, OwnPort_IsFound) {
  TargetStandIn target({.id = "t1"});
  ASSERT_TRUE(target.Start()) << target.last_reason();
  EXPECT_EQ(FindSocketOwner({getpid()}, target.endpoint().port), getpid());
  EXPECT_EQ(FindSocketOwner({getpid()}, 1), 0);
}

}  // namespace
}  // namespace camphor
