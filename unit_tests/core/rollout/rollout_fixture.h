#ifndef CAMPHORHILL_UNIT_TESTS_CORE_ROLLOUT_ROLLOUT_FIXTURE_H_
#define CAMPHORHILL_UNIT_TESTS_CORE_ROLLOUT_ROLLOUT_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/config/rollout_key.h"
#include "core/rollout/evidence_tree.h"
#include "core/rollout/rollout_manager.h"
#include "core/routing/routing_builder.h"

namespace camphor {

/// Fixture of several hosts that share one rollout, each with a RolloutManager
/// and one target of each version. Records and evidence are delivered
/// immediately, unless a test disconnects a host. Requests follow the routing
/// that each host derives.
class RolloutFixture : public testing::Test {
 protected:
  static constexpr int kHosts = 5;
  static constexpr Seconds kRolloutTime{600};
  static constexpr Seconds kBake{60};

  /// Returns true if a request to this target fails.
  using Fails = std::function<bool(bool is_new, const std::string& host)>;

  struct Host {
    std::unique_ptr<RolloutManager> manager;
    std::map<RolloutId, RolloutRecord> records;
    bool disconnected = false;    ///< neither sends nor receives
    bool paused = false;          ///< the process does not run
    Milliseconds clock_error{0};  ///< added to the calendar time of this host
    int routing_changes = 0;
    EffectiveRoutingPtr routing;
    std::map<std::string, double> credit;
  };

  void SetUp() override {
    auto snapshot = std::make_shared<ConfigSnapshot>();
    for (const char* route : {"get", "put"}) {
      RouteRule& rule = snapshot->routes.emplace_back();
      rule.name = RouteName(route);
      rule.pool = PoolName("pool");
    }
    PoolSpec& pool = snapshot->pools.emplace_back();
    pool.name = PoolName("pool");
    pool.version = TargetVersion("v1");
    pool.rollout = rollout_spec_;
    pool.rollout->version = TargetVersion("v2");
    pool.rollout->complete_by = wall_ + kRolloutTime;
    pool.rollout->bake = kBake;
    pool.slots_per_target = 1000;
    id_ = RolloutKey::FromPool(pool).id();
    snapshot_ = snapshot;
    for (int host = 0; host < kHosts; ++host) {
      StartHost("h" + std::to_string(host));
    }
  }

  /// Starts or restarts a host without state.
  void StartHost(const std::string& name) {
    Host& host = hosts_[name];
    host = Host();
    host.manager = std::make_unique<RolloutManager>(RolloutManager::Options{
        .host = HostId(name),
        .incarnation = ++incarnation_,
        .publish =
            [this, name](const RolloutRecord& record) {
              Broadcast(name, record);
            },
        .send_evidence =
            [this, name](const HostId& to, const EvidenceReport& report) {
              Host& receiver = hosts_.at(to.value());
              if (hosts_.at(name).disconnected || receiver.disconnected) return;
              receiver.manager->OnEvidence(report, now_);
              // The mesh may deliver messages twice.
              receiver.manager->OnEvidence(report, now_);
            },
        .routing_changed = [&host] { ++host.routing_changes; }});
    host.manager->SetConfig(snapshot_);
    host.manager->SetHosts(MakeHostRecords());
  }

  std::map<HostId, HostRecord> MakeHostRecords() const {
    std::map<HostId, HostRecord> records;
    for (int host = 0; host < kHosts; ++host) {
      const std::string name = "h" + std::to_string(host);
      HostRecord& record = records[HostId(name)];
      record.host = HostId(name);
      for (const char* version : {"v1", "v2"}) {
        if (version == std::string("v2") && hide_new_targets_) continue;
        TargetInfo& target = record.targets.emplace_back();
        target.id = TargetId(name + "-" + version);
        target.pool = PoolName("pool");
        target.version = TargetVersion(version);
      }
    }
    return records;
  }

  void Broadcast(const std::string& from, const RolloutRecord& record) {
    if (hosts_.at(from).disconnected) return DeliverRecord(from, record);
    for (auto& [name, host] : hosts_) {
      if (!host.disconnected) DeliverRecord(name, record);
    }
  }

  void DeliverRecord(const std::string& name, const RolloutRecord& record) {
    Host& host = hosts_.at(name);
    const auto [known, added] = host.records.try_emplace(record.id, record);
    if (!added) known->second = RolloutRecord::Merge(known->second, record);
    if (stages_.empty() || stages_.back() != known->second.stage) {
      stages_.push_back(known->second.stage);
    }
    if (host.manager) host.manager->OnRecord(known->second);
  }

  /// Reconnects a host and exchanges all records.
  void Reconnect(const std::string& name) {
    hosts_.at(name).disconnected = false;
    std::vector<RolloutRecord> records;
    for (const auto& [other, host] : hosts_) {
      const auto known = host.records.find(id_);
      if (known != host.records.end()) records.push_back(known->second);
    }
    for (const RolloutRecord& record : records) Broadcast(name, record);
  }

  /// Runs all hosts for the given number of seconds.
  void Run(int seconds, const Fails& fails) {
    RunTicks(Milliseconds(Seconds(seconds)) / tick_, fails);
  }

  void RunTicks(std::int64_t ticks, const Fails& fails) {
    for (std::int64_t tick = 0; tick < ticks; ++tick) {
      now_ += tick_;
      wall_ += tick_;
      for (auto& [name, host] : hosts_) {
        if (host.paused) continue;
        UpdateRouting(name, host);
        SendRequests(host, fails);
        host.manager->Tick(now_, wall_ + host.clock_error);
      }
    }
  }

  void UpdateRouting(const std::string& name, Host& host) const {
    auto routing = std::make_shared<EffectiveRouting>(
        BuildRouting({.self = HostId(name),
                      .snapshot = snapshot_,
                      .hosts = MakeHostRecords(),
                      .rollouts = host.records,
                      .poison = {},
                      .locally_ejected = host.manager->locally_ejected()}));
    if (!host.routing || *host.routing != *routing) host.routing = routing;
  }

  void SendRequests(Host& host, const Fails& fails) {
    for (std::uint32_t route = 0; route < host.routing->routes.size();
         ++route) {
      const RoutedRule& rule = host.routing->routes[route];
      double& credit = host.credit[rule.rule->name.value()];
      for (int request = 0; request < requests_per_tick_; ++request) {
        credit += rule.new_share_ppm / 1e6;
        const std::uint32_t group = credit >= 1 ? 1 : 0;
        credit -= group;
        Send(host, route, group, fails);
      }
    }
  }

  void Send(Host& host, std::uint32_t route, std::uint32_t group,
            const Fails& fails) {
    const auto& targets = host.routing->pools[0].groups[group].targets;
    if (targets.empty()) return;
    const auto target =
        static_cast<std::uint32_t>(++sent_requests_ % targets.size());
    const bool failed = fails(group == 1, targets[target].host.value());
    ++(group == 1 ? new_requests_ : old_requests_);
    host.manager->OnSample(
        {.routing = host.routing,
         .route = route,
         .group = group,
         .target = target,
         .outcome = failed ? RequestOutcome::kError : RequestOutcome::kSuccess,
         .latency = Milliseconds(10)},
        now_);
  }

  /// Steps the calendar clock of all hosts by the same amount.
  void SetClockError(Milliseconds error) {
    for (auto& [name, host] : hosts_) host.clock_error = error;
  }

  /// Ends a host; the others learn that it is dead.
  void Kill(const std::string& victim) {
    hosts_.at(victim).paused = true;
    std::map<HostId, HostRecord> records = MakeHostRecords();
    records.at(HostId(victim)).status = HostStatus::kDead;
    for (auto& [name, host] : hosts_) {
      if (name != victim) host.manager->SetHosts(records);
    }
  }

  std::string Owner() const {
    std::vector<HostId> hosts;
    for (const auto& [name, host] : hosts_) hosts.emplace_back(name);
    return EvidenceTree(id_, hosts).owner()->value();
  }

  RolloutRecord RecordOf(const std::string& name) const {
    const auto& records = hosts_.at(name).records;
    const auto known = records.find(id_);
    return known == records.end() ? RolloutRecord{.id = id_} : known->second;
  }

  /// Returns the stage; fails if the hosts do not agree on it.
  RolloutStage Stage() const {
    const RolloutStage stage = RecordOf("h0").stage;
    for (const auto& [name, host] : hosts_) {
      EXPECT_EQ(RecordOf(name).stage, stage) << name;
    }
    return stage;
  }

  /// Returns how often a host entered a final stage from another stage.
  std::ptrdiff_t CountEnds() const {
    return std::ranges::count_if(stages_, [](RolloutStage stage) {
      return stage >= RolloutStage::kDone;
    });
  }

  static bool NeverFails(bool /*is_new*/, const std::string& /*host*/) {
    return false;
  }
  static bool NewVersionFails(bool is_new, const std::string& /*host*/) {
    return is_new;
  }

  RolloutSpec rollout_spec_{};   ///< order, set by a test
  Milliseconds tick_{1'000};     ///< time between two ticks
  int requests_per_tick_ = 200;  ///< per host, route and tick
  MonoTime now_{Seconds(100)};
  WallTime wall_{Seconds(1'800'000'000)};
  ConfigSnapshotPtr snapshot_;
  RolloutId id_;
  std::map<std::string, Host> hosts_;
  std::vector<RolloutStage> stages_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sent_requests_ = 0;
  std::uint64_t new_requests_ = 0;
  std::uint64_t old_requests_ = 0;
  bool hide_new_targets_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_CORE_ROLLOUT_ROLLOUT_FIXTURE_H_
