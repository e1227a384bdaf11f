#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "node/decisions/host_controller.h"

namespace camphor {
namespace {

constexpr Milliseconds kBound{5000};
constexpr Seconds kSuspended{5000};  // time that only the boot clock counts
const Endpoint kPeer{.address = "127.0.0.2", .port = 7001};

// A controller with the hooks that a node sets, and the test's clocks. Another
// host of its failure domain is known.
class HostControllerFreshness : public testing::Test {
 protected:
  void Start(Milliseconds bound, DisseminationMode mode) {
    Settings settings{.host = HostId("h1"),
                      .failure_domain = FailureDomain("d1"),
                      .mesh_advertise = {.address = "127.0.0.1", .port = 7001},
                      .teams = {.revoke_within = bound}};
    settings.replication.mode = mode;
    gate_ = std::make_unique<FreshnessGate>(bound);
    controller_ = std::make_unique<HostController>(HostController::Options{
        .settings = settings,
        .incarnation = 1,
        .forward = {.address = "127.0.0.1", .port = 7002},
        .log = log_.get(),
        .with_limiter =
            [this](const std::function<void(QuotaLimiter&)>& use) {
              use(limiter_);
            },
        .routing = &routing_,
        .addresses = &addresses_,
        .send =
            [this](const Endpoint& to, const MeshMessage& message) {
              sent_.emplace_back(to, message);
              return true;
            },
        .fetch_snapshot = [](const ConfigHead&) {},
        .config_changed = [](const ConfigSnapshot&) {},
        .freshness = gate_.get(),
        .prove_freshness = [this] { ++store_reads_; }});
    controller_->OnMessage(
        kPeer,
        RecordsMessage{.hosts = {{.host = HostId("h2"),
                                  .incarnation = 1,
                                  .domain = FailureDomain("d1"),
                                  .mesh = kPeer}}},
        now_, BootNow());
    Run(kTick);
  }

  void Serve(ConfigVersion version, bool with_teams) {
    ConfigSnapshot snapshot;
    snapshot.head.version = version;
    if (with_teams) {
      snapshot.teams = TeamTable(
          {{.name = TeamName("red"), .key_digests = {Digest::Of("key")}}});
    }
    controller_->replicator().OnPlatformSnapshot(snapshot, now_);
    controller_->replicator().OnPlatformHead(snapshot.head, now_);
  }

  void Run(Milliseconds duration) {
    for (const MonoTime end = now_ + duration; now_ < end; now_ += kTick) {
      controller_->Tick(now_, BootNow(), WallTime(Seconds(1)));
      controller_->PublishRouting(now_);
    }
  }

  // Messages of a type that were sent.
  template <typename Message>
  std::vector<Message> Sent() const {
    std::vector<Message> messages;
    for (const auto& [to, message] : sent_)
      if (const auto* typed = std::get_if<Message>(&message))
        messages.push_back(*typed);
    return messages;
  }
  std::vector<FreshnessQuery> Queries() const { return Sent<FreshnessQuery>(); }

  // Counts log lines. Stops the controller, because lines are written once the
  // log ends.
  int LogLines(const std::string& text) {
    controller_.reset();
    log_.reset();
    int count = 0;
    for (const std::string& line : lines_)
      if (line.find(text) != std::string::npos) ++count;
    return count;
  }

  MonoTime BootNow() const { return now_ + kSuspended; }
  bool AcceptsKeys() const { return gate_->IsCurrent(BootNow()); }

  static constexpr Milliseconds kTick{100};
  MonoTime now_{Seconds(100)};
  std::vector<std::string> lines_;
  QuotaLimiter limiter_{{}};
  std::unique_ptr<LogSink> log_ = std::make_unique<LogSink>(LogSink::Options{
      .write = [this](const std::string& line) { lines_.push_back(line); }});
  Published<EffectiveRouting> routing_;
  Published<TargetAddresses> addresses_;
  std::vector<std::pair<Endpoint, MeshMessage>> sent_;
  int store_reads_ = 0;
  std::unique_ptr<FreshnessGate> gate_;
  std::unique_ptr<HostController> controller_;
};

TEST_F(HostControllerFreshness, NotStrict_SendsNoQueryAndReadsNothing) {
  Start(Milliseconds(0), DisseminationMode::kPushOnly);
  Serve(1, true);
  Run(Seconds(30));
  EXPECT_TRUE(AcceptsKeys());
  EXPECT_TRUE(Queries().empty());
  EXPECT_EQ(store_reads_, 0);
  EXPECT_EQ(controller_->ConfigAge(), std::nullopt);
}

TEST_F(HostControllerFreshness, NotStrict_QueryIsNotAnswered) {
  Start(Milliseconds(0), DisseminationMode::kPushOnly);
  controller_->OnMessage(kPeer, FreshnessQuery{.sequence = 1}, now_, BootNow());
  EXPECT_TRUE(Sent<FreshnessReply>().empty());
}

TEST_F(HostControllerFreshness, ConfigurationWithoutTeams_SendsNoQuery) {
  Start(kBound, DisseminationMode::kPushOnly);
  Serve(1, false);
  Run(Seconds(30));
  EXPECT_TRUE(Queries().empty());
  EXPECT_EQ(store_reads_, 0);
}

TEST_F(HostControllerFreshness, StoreProof_ReachesProxyAfterItsConfiguration) {
  Start(kBound, DisseminationMode::kFull);
  Serve(1, true);
  controller_->OnPlatformProof({.at = BootNow(), .version = 1}, BootNow());
  EXPECT_FALSE(AcceptsKeys());
  controller_->PublishRouting(now_);
  ASSERT_NE(routing_.Load(), nullptr);
  EXPECT_TRUE(AcceptsKeys());
  EXPECT_EQ(controller_->ConfigAge(), Milliseconds(0));

  // A proof about a version that is not yet published changes nothing.
  const MonoTime proven = BootNow();
  now_ += Seconds(4);
  controller_->OnPlatformProof({.at = BootNow(), .version = 2}, BootNow());
  controller_->PublishRouting(now_);
  EXPECT_TRUE(AcceptsKeys());
  EXPECT_FALSE(gate_->IsCurrent(proven + kBound));
}

TEST_F(HostControllerFreshness, ReplyToQuery_ReachesProxy) {
  // In this mode no host polls the platform, so this one queries the poller
  // that its overlay names.
  Start(kBound, DisseminationMode::kPushOnly);
  Serve(1, true);
  Run(kTick);
  ASSERT_EQ(Queries().size(), 1U);
  EXPECT_FALSE(AcceptsKeys());
  const FreshnessReply reply{.sequence = Queries()[0].sequence,
                             .known = true,
                             .age_ms = 500,
                             .version = 1};
  controller_->OnMessage(kPeer, reply, now_, BootNow());
  controller_->PublishRouting(now_);
  EXPECT_TRUE(AcceptsKeys());
}

TEST_F(HostControllerFreshness, ReplyAboutNewerVersion_AsksForItsHead) {
  Start(kBound, DisseminationMode::kFull);
  Serve(1, true);
  Run(kTick);
  sent_.clear();
  controller_->OnMessage(
      kPeer, FreshnessReply{.sequence = 7, .known = true, .version = 2}, now_,
      BootNow());
  EXPECT_EQ(Sent<Heartbeat>().size(), 1U);
}

TEST_F(HostControllerFreshness, QueryOfAnotherHost_IsAnsweredWithTheAge) {
  Start(kBound, DisseminationMode::kFull);
  Serve(1, true);
  controller_->OnPlatformProof({.at = BootNow(), .version = 1}, BootNow());
  Run(kTick);
  sent_.clear();
  // The host was suspended, which the steady clock does not count.
  controller_->OnMessage(kPeer, FreshnessQuery{.sequence = 7}, now_,
                         BootNow() + Seconds(60));
  const std::vector<FreshnessReply> replies = Sent<FreshnessReply>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].sequence, 7U);
  EXPECT_EQ(replies[0].version, 1U);
  EXPECT_GE(replies[0].age_ms, 60'000U);
}

TEST_F(HostControllerFreshness, AgeAboveBound_LogsStartAndEndOnce) {
  Start(kBound, DisseminationMode::kFull);
  Serve(1, true);
  controller_->OnPlatformProof({.at = BootNow(), .version = 1}, BootNow());
  Run(Seconds(64));
  EXPECT_FALSE(AcceptsKeys());
  controller_->OnPlatformProof({.at = BootNow(), .version = 1}, BootNow());
  Run(kTick);
  EXPECT_EQ(controller_->DumpFreshness().at("accepts_keys"), true);
  EXPECT_EQ(LogLines("refusing requests"), 1);
  EXPECT_EQ(LogLines("accepting keys again"), 1);
}

}  // namespace
}  // namespace camphor
