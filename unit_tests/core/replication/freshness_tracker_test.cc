#include "core/replication/freshness_tracker.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/replication/freshness_gate.h"

namespace camphor {
namespace {

constexpr Milliseconds kBound{5000};
constexpr Milliseconds kTick{100};
constexpr Milliseconds kTransit{10};
constexpr Milliseconds kStoreRetry{300};
// The part of the bound for which a host has to serve callers after its last
// path to the store failed.
constexpr Milliseconds kServedWithoutStore{3000};

Endpoint EndpointOf(int host) {
  return {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(host + 1)};
}

// Hosts with a tracker and a gate each, a store and the links between them, all
// under the test's clock. Hosts 0 and 1 watch the store for domain 0, hosts 2
// and 3 for domain 1; the others are in domain 0. The boot clock of each host
// differs by an offset, as clocks of different machines do.
class FreshnessTrackerTest : public testing::Test {
 protected:
  struct Host {
    std::unique_ptr<FreshnessTracker> tracker{};
    std::unique_ptr<FreshnessGate> gate{};
    ConfigVersion served = 1;
    ConfigVersion known = 1;  // of the snapshot that it will serve
    Milliseconds offset{0};   // of its boot clock
    bool frozen = false;
    MonoTime watch_started{};  // zero: no call is open
    MonoTime next_watch{};     // after a failure
    int incarnation = 0;
    int store_calls = 0;
  };
  struct Delivery {
    MonoTime at{};
    int from = 0;
    int to = 0;
    MeshMessage message{};
  };

  static constexpr int kWatchers = 4;

  void SetUp() override {
    for (int index = 0; index < 8; ++index) {
      hosts_[index].offset = Seconds(1000 * index);
      Start(index);
    }
  }

  bool IsWatcher(int index) const {
    return index < kWatchers && !replaced_.contains(index);
  }

  // Starts a new process: it has no knowledge yet.
  void Start(int index) {
    Host& host = hosts_[index];
    ++host.incarnation;
    host.watch_started = {};
    host.gate = std::make_unique<FreshnessGate>(kBound);
    host.tracker = std::make_unique<FreshnessTracker>(FreshnessTracker::Options{
        .bound = kBound,
        .incarnation =
            static_cast<std::uint64_t>(host.incarnation) * 1'000'000 +
            static_cast<std::uint64_t>(index),
        .sources = [index, this] { return SourcesOf(index); },
        .send =
            [index, this](const Endpoint& to, const MeshMessage& message) {
              Send(index, to.port - 1, message);
            },
        .read_store = [index, this] { ReadStore(index); }});
  }

  FreshnessTracker::Sources SourcesOf(int index) {
    FreshnessTracker::Sources sources;
    for (int watcher = 0; watcher < kWatchers; ++watcher) {
      if (watcher == index) continue;
      const bool own = (watcher < 2) == (index < 2 || index >= kWatchers);
      (own ? sources.own_domain : sources.other_domains)
          .push_back(EndpointOf(watcher));
    }
    return sources;
  }

  void Send(int from, int to, const MeshMessage& message) {
    ++messages_;
    if (silent_links_.contains({from, to})) return;
    deliveries_.push_back({.at = now_ + kTransit + extra_delay_,
                           .from = from,
                           .to = to,
                           .message = message});
  }

  bool StoreAnswers(int index) const {
    return !store_down_ && !rejected_.contains(index);
  }

  void ReadStore(int index) {
    ++hosts_[index].store_calls;
    if (StoreAnswers(index)) CompleteRead(index, now_);
  }

  // A read that started at `started` has ended: it found the newest version.
  void CompleteRead(int index, MonoTime started) {
    Host& host = hosts_[index];
    host.known = std::max(host.known, stored_);
    if (!snapshots_stuck_) host.served = host.known;
    host.tracker->OnStoreProof(
        {.at = started + host.offset, .version = stored_}, now_ + host.offset);
    Publish(index);
  }

  void Publish(int index) {
    Host& host = hosts_[index];
    host.tracker->Tick(Situated(index), now_ + host.offset);
    if (host.tracker->proof()) host.gate->Publish(host.tracker->proof()->at);
  }

  FreshnessTracker::Situation Situated(int index) const {
    return {.served = hosts_.at(index).served,
            .has_teams = has_teams_,
            .watcher = IsWatcher(index)};
  }

  // Lets time pass in ticks; the watchers of the store watch it continuously.
  void Run(Milliseconds duration) {
    const MonoTime end = now_ + duration;
    while (now_ < end) {
      now_ += kTick;
      Deliver();
      for (auto& [index, host] : hosts_) {
        if (host.frozen) continue;
        WatchStore(index, host);
        Publish(index);
        CheckHost(index);
      }
    }
  }

  void WatchStore(int index, Host& host) {
    if (!has_teams_ || !IsWatcher(index)) return;
    if (host.watch_started == MonoTime{}) {
      if (now_ < host.next_watch) return;
      host.watch_started = now_;
      ++host.store_calls;
      // After a failure, the next call asks for an immediate answer.
      const bool failed_before = host.next_watch != MonoTime{};
      host.next_watch = {};
      if (failed_before && StoreAnswers(index))
        return CompleteRead(index, std::exchange(host.watch_started, {}));
    }
    if (!StoreAnswers(index)) {
      host.watch_started = {};
      host.next_watch = now_ + kStoreRetry;
      return;
    }
    // The answer arrives once the watch has ended, if the store still answers.
    if (now_ - host.watch_started < FreshnessTracker::WatchTimeout(kBound))
      return;
    CompleteRead(index, std::exchange(host.watch_started, {}));
  }

  void Deliver() {
    std::deque<Delivery> due;
    std::deque<Delivery> later;
    for (Delivery& delivery : deliveries_)
      (delivery.at <= now_ ? due : later).push_back(std::move(delivery));
    deliveries_ = std::move(later);
    for (const Delivery& delivery : due) {
      Host& host = hosts_[delivery.to];
      if (host.frozen) {
        // The sockets of a frozen host hold what it was sent.
        deliveries_.push_back(delivery);
        continue;
      }
      const MonoTime at = now_ + host.offset;
      if (const auto* query = std::get_if<FreshnessQuery>(&delivery.message)) {
        host.tracker->OnQuery(EndpointOf(delivery.from), *query, at);
      } else {
        host.tracker->OnReply(EndpointOf(delivery.from),
                              std::get<FreshnessReply>(delivery.message), at);
        Publish(delivery.to);
      }
    }
  }

  bool AcceptsKeys(int index) const {
    const Host& host = hosts_.at(index);
    return host.gate->IsCurrent(now_ + host.offset);
  }

  // The promise: no host accepts a key of a version that was superseded longer
  // than the bound ago.
  void CheckHost(int index) {
    if (!AcceptsKeys(index)) {
      refusing_.insert(index);
      return;
    }
    const Host& host = hosts_.at(index);
    for (const auto& [version, acknowledged] : superseded_) {
      if (host.served > version) continue;
      EXPECT_LE(now_ - acknowledged, kBound)
          << "host " << index << " accepts keys of version " << host.served;
    }
  }

  // The store acknowledges a new version, which removes a key. It reaches a
  // host only through the store or by `Distribute`.
  void Revoke() {
    superseded_[stored_] = now_;
    ++stored_;
  }

  void CutOff(int index) {
    rejected_.insert(index);
    for (const auto& [other, host] : hosts_) {
      silent_links_.insert({index, other});
      silent_links_.insert({other, index});
    }
  }

  // Runs until the watchers and the other hosts are in their usual rhythm.
  void Settle() {
    Run(Seconds(5));
    refusing_.clear();
    messages_ = 0;
    for (auto& [index, host] : hosts_) host.store_calls = 0;
  }

  int StoreCallsOfOthers() {
    int calls = 0;
    for (const auto& [index, host] : hosts_)
      if (index >= kWatchers) calls += host.store_calls;
    return calls;
  }

  MonoTime now_{Seconds(100)};
  std::map<int, Host> hosts_;
  std::deque<Delivery> deliveries_;
  ConfigVersion stored_ = 1;
  std::map<ConfigVersion, MonoTime> superseded_;
  std::set<int> rejected_;  // hosts that the store does not serve
  std::set<int> replaced_;  // hosts that have stopped to watch
  std::set<std::pair<int, int>> silent_links_;
  std::set<int> refusing_;  // hosts that refused keys since Settle
  Milliseconds extra_delay_{0};
  bool store_down_ = false;
  bool has_teams_ = true;
  bool snapshots_stuck_ = false;
  int messages_ = 0;
};

TEST_F(FreshnessTrackerTest, AllConnected_NoHostRefusesAndOnlyWatchersRead) {
  Settle();
  Run(Seconds(60));
  EXPECT_TRUE(refusing_.empty());
  EXPECT_EQ(StoreCallsOfOthers(), 0);
  // Four hosts that do not watch send a query, and get a reply, about once a
  // second.
  EXPECT_LE(messages_, 60 * 4 * 2 * 3 / 2);
  EXPECT_GE(messages_, 60 * 4 * 2 / 2);
}

TEST_F(FreshnessTrackerTest, NoTeams_SendsNothingAndReadsNothing) {
  has_teams_ = false;
  Run(Seconds(60));
  EXPECT_EQ(messages_, 0);
  for (const auto& [index, host] : hosts_) EXPECT_EQ(host.store_calls, 0);
}

TEST_F(FreshnessTrackerTest, BeforeFirstProof_KeysAreRefused) {
  EXPECT_FALSE(AcceptsKeys(0));
  EXPECT_FALSE(AcceptsKeys(5));
  EXPECT_EQ(hosts_[5].tracker->Age(now_), std::nullopt);
}

TEST_F(FreshnessTrackerTest, CutOffHost_RefusesWithinBoundAndNotEarly) {
  Settle();
  CutOff(5);
  Revoke();
  Run(kServedWithoutStore - kTick);
  EXPECT_TRUE(AcceptsKeys(5));
  Run(kBound - kServedWithoutStore);
  EXPECT_FALSE(AcceptsKeys(5));
  Run(Seconds(60));
  EXPECT_FALSE(AcceptsKeys(5));
  EXPECT_EQ(refusing_, std::set<int>{5});
}

TEST_F(FreshnessTrackerTest, CutOffHostConnectedAgain_AcceptsWithNewVersion) {
  Settle();
  CutOff(5);
  Revoke();
  Run(Seconds(20));
  silent_links_.clear();
  Run(Seconds(2));
  // It knows by now that there is a newer version, which it does not serve yet.
  EXPECT_FALSE(AcceptsKeys(5));
  hosts_[5].served = stored_;
  Run(kTick);
  EXPECT_TRUE(AcceptsKeys(5));
}

// A group of hosts that exchange ages only among themselves must not keep each
// other's knowledge alive.
TEST_F(FreshnessTrackerTest, IslandOfHosts_RefusesWithinBound) {
  Settle();
  const std::set<int> island = {0, 1, 4, 5, 6, 7};
  rejected_ = island;
  for (const int inside : island) {
    for (const int outside : {2, 3}) {
      silent_links_.insert({inside, outside});
      silent_links_.insert({outside, inside});
    }
  }
  Revoke();
  Run(kServedWithoutStore - kTick);
  EXPECT_TRUE(refusing_.empty());
  Run(Seconds(60));
  EXPECT_EQ(refusing_, island);
  for (const int inside : island) EXPECT_FALSE(AcceptsKeys(inside));
}

TEST_F(FreshnessTrackerTest, FrozenHost_RefusesOnWakingUntilNewProof) {
  Settle();
  hosts_[5].frozen = true;
  Run(Seconds(1));
  Revoke();
  Run(Seconds(30));
  // The proxy thread may run before the decisions thread.
  EXPECT_FALSE(AcceptsKeys(5));
  hosts_[5].frozen = false;
  Run(kTick);
  EXPECT_FALSE(AcceptsKeys(5));
  hosts_[5].served = stored_;
  Run(Seconds(1));
  EXPECT_TRUE(AcceptsKeys(5));
}

TEST_F(FreshnessTrackerTest, FrozenWatcher_DoesNotProveByAnOldAnswer) {
  Settle();
  hosts_[0].frozen = true;
  Run(Seconds(1));
  Revoke();
  Run(Seconds(30));
  hosts_[0].frozen = false;
  // The answer to the watch that was open before the freeze says nothing about
  // the time in between.
  CompleteRead(0, now_ - Seconds(31));
  EXPECT_FALSE(AcceptsKeys(0));
}

// A reply of a frozen watcher that arrives late must count from the query.
TEST_F(FreshnessTrackerTest, QueryAnsweredAfterFreeze_CountsFromItsSending) {
  Settle();
  hosts_[0].frozen = true;
  hosts_[1].frozen = true;
  Run(Seconds(2));
  hosts_[0].frozen = false;
  hosts_[1].frozen = false;
  Run(Seconds(10));
  EXPECT_TRUE(refusing_.empty());
}

TEST_F(FreshnessTrackerTest, SilentLinksToOwnWatchers_OtherDomainIsQueried) {
  Settle();
  for (const int watcher : {0, 1}) silent_links_.insert({watcher, 5});
  Run(Seconds(60));
  EXPECT_TRUE(refusing_.empty());
  EXPECT_EQ(StoreCallsOfOthers(), 0);
  EXPECT_GT(hosts_[5].tracker->counters().timeouts, 0U);
}

TEST_F(FreshnessTrackerTest, SilentLinksToAllWatchers_StoreIsReadInstead) {
  Settle();
  for (int watcher = 0; watcher < kWatchers; ++watcher)
    silent_links_.insert({watcher, 5});
  Run(Seconds(60));
  EXPECT_TRUE(refusing_.empty());
  // One read proves freshness until the age is at 0.6 of the bound again.
  EXPECT_GE(hosts_[5].store_calls, 10);
  EXPECT_LE(hosts_[5].store_calls, 21);
}

TEST_F(FreshnessTrackerTest, StoreRejectsWatchersOfADomain_NoHostRefuses) {
  Settle();
  rejected_ = {0, 1};
  Run(Seconds(60));
  EXPECT_TRUE(refusing_.empty());
  EXPECT_EQ(StoreCallsOfOthers(), 0);
}

TEST_F(FreshnessTrackerTest, StoreRejectsAllButOneWatcher_NoHostRefuses) {
  Settle();
  rejected_ = {0, 1, 2, 4, 5, 6, 7};
  Run(Seconds(60));
  EXPECT_TRUE(refusing_.empty());
}

TEST_F(FreshnessTrackerTest, ShortStoreOutages_NoHostRefuses) {
  Settle();
  for (const Milliseconds outage :
       {Milliseconds(100), Milliseconds(700), Milliseconds(2400)}) {
    for (int round = 0; round < 20; ++round) {
      store_down_ = true;
      Run(outage);
      store_down_ = false;
      Run(Seconds(3) + round * kTick);
    }
    EXPECT_TRUE(refusing_.empty()) << outage.count() << " ms";
  }
}

TEST_F(FreshnessTrackerTest, StoreDown_AllRefuseAfterBoundAndReadsBackOff) {
  Settle();
  store_down_ = true;
  Run(kBound);
  for (const auto& [index, host] : hosts_) EXPECT_FALSE(AcceptsKeys(index));
  const int before = StoreCallsOfOthers();
  Run(Seconds(60));
  // At the longest delay, four hosts call every 4 to 8 s.
  EXPECT_LE(StoreCallsOfOthers() - before, 4 * (4 + 60 / 4));
  store_down_ = false;
  Run(Seconds(2));
  for (const auto& [index, host] : hosts_) EXPECT_TRUE(AcceptsKeys(index));
}

TEST_F(FreshnessTrackerTest, RestartedHost_HasNoAgeUntilItsFirstProof) {
  Settle();
  Start(5);
  EXPECT_FALSE(AcceptsKeys(5));
  EXPECT_EQ(hosts_[5].tracker->proof(), std::nullopt);
  Run(Milliseconds(300));
  EXPECT_TRUE(AcceptsKeys(5));
}

TEST_F(FreshnessTrackerTest, ReplyToEarlierProcess_IsIgnored) {
  Settle();
  extra_delay_ = Milliseconds(500);
  Run(Seconds(2));
  Start(5);
  hosts_[5].tracker->OnReply(
      EndpointOf(0),
      {.sequence = 1'000'005, .known = true, .age_ms = 0, .version = 1},
      now_ + hosts_[5].offset);
  EXPECT_EQ(hosts_[5].tracker->proof(), std::nullopt);
  EXPECT_EQ(hosts_[5].tracker->counters().unmatched, 1U);
}

TEST_F(FreshnessTrackerTest, ReplyOfAnotherHostThanAsked_IsIgnored) {
  FreshnessTracker& tracker = *hosts_[5].tracker;
  tracker.Tick(Situated(5), now_);
  ASSERT_EQ(tracker.counters().queries, 1U);
  const int asked = deliveries_.front().to;
  const auto query = std::get<FreshnessQuery>(deliveries_.front().message);
  tracker.OnReply(EndpointOf(asked == 0 ? 1 : 0),
                  {.sequence = query.sequence, .known = true, .version = 1},
                  now_);
  EXPECT_EQ(tracker.proof(), std::nullopt);
}

TEST_F(FreshnessTrackerTest, DelayedReply_CountsFromSendingOfItsOwnQuery) {
  rejected_ = {5};
  FreshnessTracker& tracker = *hosts_[5].tracker;
  const MonoTime sent = now_;
  tracker.Tick(Situated(5), sent);
  const Delivery first = deliveries_.front();
  // The query times out and another host is queried, before the reply arrives.
  tracker.Tick(Situated(5), sent + Seconds(1));
  tracker.Tick(Situated(5), sent + Seconds(1) + kTick);
  ASSERT_GE(tracker.counters().queries, 2U);
  const auto query = std::get<FreshnessQuery>(first.message);
  tracker.OnReply(
      EndpointOf(first.to),
      {.sequence = query.sequence, .known = true, .age_ms = 200, .version = 1},
      sent + Seconds(3));
  ASSERT_TRUE(tracker.proof());
  EXPECT_EQ(tracker.proof()->at, sent - Milliseconds(200));
  EXPECT_EQ(tracker.Age(sent + Seconds(3)), Milliseconds(3200));
}

TEST_F(FreshnessTrackerTest, SlowMesh_OverstatesTheAgeOnly) {
  extra_delay_ = Milliseconds(1500);
  Settle();
  for (int round = 0; round < 5; ++round) {
    Revoke();
    Run(Seconds(10));
  }
}

TEST_F(FreshnessTrackerTest, StatedAge_IsRoundedUp) {
  FreshnessTracker& tracker = *hosts_[0].tracker;
  tracker.Tick(Situated(0), now_);
  tracker.OnStoreProof({.at = now_, .version = 1}, now_);
  tracker.OnQuery(EndpointOf(5), {.sequence = 7},
                  now_ + Milliseconds(20) + Microseconds(1));
  const auto reply = std::get<FreshnessReply>(deliveries_.back().message);
  EXPECT_EQ(reply.sequence, 7U);
  EXPECT_TRUE(reply.known);
  EXPECT_EQ(reply.age_ms, 21U);
  EXPECT_EQ(reply.version, 1U);
}

TEST_F(FreshnessTrackerTest, HostWithoutProof_SaysSo) {
  hosts_[0].tracker->OnQuery(EndpointOf(5), {.sequence = 7}, now_);
  EXPECT_EQ(std::get<FreshnessReply>(deliveries_.back().message),
            FreshnessReply{.sequence = 7});
}

// The age of a newer version says nothing about the version that is served.
TEST_F(FreshnessTrackerTest, ProofOfVersionNotYetServed_DoesNotCount) {
  Settle();
  snapshots_stuck_ = true;
  Revoke();
  Run(kBound + kTick);
  for (const auto& [index, host] : hosts_) EXPECT_FALSE(AcceptsKeys(index));
  for (auto& [index, host] : hosts_) host.served = stored_;
  Run(kTick);
  for (const auto& [index, host] : hosts_) EXPECT_TRUE(AcceptsKeys(index));
}

// Versions that follow each other faster than they are served must not keep the
// proofs of the earlier ones from counting.
TEST_F(FreshnessTrackerTest,
       VersionsInQuickSuccession_ProofsOfServedOnesCount) {
  FreshnessTracker& tracker = *hosts_[0].tracker;
  FreshnessTracker::Situation situation = Situated(0);
  for (ConfigVersion version = 2; version < 40; ++version) {
    const MonoTime at = now_ + Milliseconds(10 * version);
    tracker.OnStoreProof({.at = at, .version = version}, at);
    if (version < 4) continue;
    situation.served = version - 2;
    tracker.Tick(situation, at);
    ASSERT_TRUE(tracker.proof()) << version;
    EXPECT_EQ(tracker.proof()->version, version - 2);
  }
}

TEST(FreshnessGateIsCurrent, AgeAboveBoundLessMargin_IsNotCurrent) {
  FreshnessGate gate(kBound);
  const MonoTime proven{Seconds(7)};
  EXPECT_FALSE(gate.IsCurrent(proven));
  gate.Publish(proven);
  EXPECT_TRUE(gate.IsCurrent(proven + Milliseconds(4800)));
  EXPECT_FALSE(gate.IsCurrent(proven + Milliseconds(4801)));
  gate.Publish(proven - Seconds(1));
  EXPECT_TRUE(gate.IsCurrent(proven + Milliseconds(4800)));
}

TEST(FreshnessGateIsCurrent, NoBound_IsAlwaysCurrent) {
  EXPECT_TRUE(FreshnessGate(Milliseconds(0)).IsCurrent(MonoTime{Seconds(7)}));
}

}  // namespace
}  // namespace camphor
