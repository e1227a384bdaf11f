#include "performance_test/rollout/rollout_trial.h"

#include <algorithm>
#include <boost/json.hpp>
#include <memory>
#include <optional>

#include "core/config/rollout_key.h"
#include "core/rollout/evidence_tree.h"
#include "core/rollout/rendezvous.h"
#include "core/routing/routing_builder.h"
#include "performance_test/rollout/pool_model.h"

namespace camphor {
namespace {

constexpr const char* kPool = "pool";
constexpr WallTime kOrderedAt{Milliseconds(1'800'000'000'000)};

MonoTime MonoAt(double seconds) {
  return MonoTime(Seconds(1'000)) +
         std::chrono::duration_cast<MonoTime::duration>(
             std::chrono::duration<double>(seconds));
}

WallTime WallAt(double seconds) {
  return kOrderedAt + Milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

/// Drives one manager, which owns the rollout, against the model.
class Trial {
 public:
  explicit Trial(const TrialOptions& options);
  TrialResult Run();

 private:
  static RolloutOptions ShortSettings(const RolloutOptions& settings);
  static ConfigSnapshotPtr SnapshotOf(const Workload& workload);
  std::map<HostId, HostRecord> HostsAt(double now) const;
  HostId OwnerName() const;
  void UpdateShares();
  void Count(const ModelStep& step, double now);
  void Observe(const ModelStep& step, double now) const;
  bool IsShort() const { return options_->workload.outcome_within_s > 0; }
  bool HasEnded() const { return in_force_.stage >= RolloutStage::kDone; }
  TrialResult Result(double now) const;

  const TrialOptions* options_;
  PoolModel model_;
  ConfigSnapshotPtr snapshot_;
  RolloutId id_;
  HostId owner_;
  std::unique_ptr<RolloutManager> manager_;
  RolloutRecord published_;
  RolloutRecord in_force_;
  ModelShares shares_;
  std::uint64_t period_ = 0;
  std::uint64_t pool_requests_ = 0;
  std::uint64_t new_requests_ = 0;
  std::uint64_t bad_requests_ = 0;
  std::optional<double> bad_since_;
  double bake_since_ = -1;
};

Trial::Trial(const TrialOptions& options)
    : options_(&options),
      model_(options.workload, options.kind, options.seed),
      snapshot_(SnapshotOf(options.workload)),
      id_(RolloutKey::FromPool(snapshot_->pools.front()).id()),
      owner_(OwnerName()),
      published_{.id = id_},
      in_force_{.id = id_} {
  manager_ = std::make_unique<RolloutManager>(RolloutManager::Options{
      .host = owner_,
      .incarnation = 1,
      .publish = [this](const RolloutRecord& record) { published_ = record; },
      .rollout = options.rollout,
      .short_rollout = ShortSettings(options.rollout)});
  manager_->SetConfig(snapshot_);
  if (IsShort()) {
    const RolloutRecord begun{.id = id_, .ordered_at = kOrderedAt};
    published_ = in_force_ = begun;
    manager_->OnRecord(begun);
  }
  UpdateShares();
}

RolloutOptions Trial::ShortSettings(const RolloutOptions& settings) {
  RolloutOptions chosen = ShortRollout();
  chosen.make_judge = settings.make_judge;
  return chosen;
}

ConfigSnapshotPtr Trial::SnapshotOf(const Workload& workload) {
  auto snapshot = std::make_shared<ConfigSnapshot>();
  const Milliseconds allowed(
      static_cast<std::int64_t>(workload.outcome_within_s * 1000));
  snapshot->pools.push_back(
      {.name = PoolName(kPool),
       .version = TargetVersion(kOldVersion),
       .rollout = RolloutSpec{.version = TargetVersion(kNewVersion),
                              .complete_by = WallAt(workload.time_allowed_s),
                              .allowed = allowed,
                              .bake = Seconds(workload.bake_s)},
       .slots_per_target = static_cast<std::uint32_t>(workload.slots)});
  return snapshot;
}

HostId Trial::OwnerName() const {
  // Take a name that comes first in the tree.
  std::vector<HostId> hosts;
  for (const ModelTarget& target : model_.targets()) {
    hosts.push_back(target.host);
  }
  for (int number = 0;; ++number) {
    HostId name("proxy-" + std::to_string(number));
    std::vector<HostId> all = hosts;
    all.push_back(name);
    if (EvidenceTree(id_, std::move(all)).owner() == name) return name;
  }
}

std::map<HostId, HostRecord> Trial::HostsAt(double now) const {
  std::map<HostId, HostRecord> hosts;
  hosts[owner_] = {.host = owner_};
  for (const ModelTarget& target : model_.targets()) {
    HostRecord record{.host = target.host};
    if (model_.IsKnownDead(target, now)) record.status = HostStatus::kDead;
    record.targets.push_back(
        {.id = target.id,
         .pool = PoolName(kPool),
         .version = TargetVersion(target.is_new ? kNewVersion : kOldVersion)});
    hosts[target.host] = std::move(record);
  }
  return hosts;
}

void Trial::UpdateShares() {
  const auto& routes = options_->workload.routes;
  shares_.new_share.assign(routes.size(), in_force_.share_ppm / 1e6);
  for (const RouteShare& share : in_force_.route_shares) {
    for (std::size_t route = 0; route < routes.size(); ++route) {
      if (routes[route].name == share.route.value()) {
        shares_.new_share[route] = share.share_ppm / 1e6;
      }
    }
  }
  // The same choice of targets as the routing makes.
  std::vector<RoutedTarget> new_targets;
  for (const ModelTarget& target : model_.targets()) {
    if (target.is_new) new_targets.push_back({.info = {.id = target.id}});
  }
  const std::vector<RoutedTarget> chosen =
      ChooseTargets(id_, new_targets, in_force_.canary_targets);
  shares_.in_use.clear();
  for (const ModelTarget& target : model_.targets()) {
    shares_.in_use.push_back(
        !target.is_new ||
        std::ranges::any_of(chosen, [&target](const RoutedTarget& any) {
          return any.info.id == target.id;
        }));
  }
}

void Trial::Count(const ModelStep& step, double now) {
  pool_requests_ += step.requests;
  new_requests_ += step.new_requests;
  bad_requests_ += step.bad_requests;
  if (step.shows_bad && !bad_since_) bad_since_ = now;
}

void Trial::Observe(const ModelStep& step, double now) const {
  if (!options_->record) return;
  TrialMoment moment{.seconds = now, .record = in_force_};
  for (const EvidenceCell& cell : step.cells) {
    const bool is_new = cell.version.value() == kNewVersion;
    (is_new ? moment.new_requests : moment.old_requests) += cell.requests;
    (is_new ? moment.new_failures : moment.old_failures) += cell.failures;
  }
  const boost::json::value dump = boost::json::parse(manager_->DumpJson());
  if (const auto* rows = dump.at(0).as_object().if_contains("evidence")) {
    for (const boost::json::value& row : rows->as_array()) {
      moment.evidence =
          std::max(moment.evidence, row.at("evidence").to_number<double>());
    }
  }
  options_->record(moment);
}

TrialResult Trial::Result(double now) const {
  TrialResult result{
      .ended = HasEnded(),
      .rolled_back = in_force_.stage == RolloutStage::kRolledBack,
      .bad_requests = bad_requests_,
      .reason = in_force_.reason};
  // Either the outcome, or full share, has its time.
  const Workload& workload = options_->workload;
  const double counts = IsShort() ? now : bake_since_;
  result.in_time = in_force_.stage == RolloutStage::kDone && counts >= 0 &&
                   counts <= workload.time_allowed_s;
  const double left = std::max(0.0, workload.time_allowed_s - now);
  result.new_share = static_cast<double>(new_requests_) /
                     std::max(1.0, static_cast<double>(pool_requests_) +
                                       left * workload.request_rate);
  if (pool_requests_ > 0) {
    result.bad_share = static_cast<double>(bad_requests_) /
                       static_cast<double>(pool_requests_);
  }
  if (bad_since_) result.take_back_s = now - *bad_since_;
  return result;
}

TrialResult Trial::Run() {
  const double longest =
      options_->workload.time_allowed_s + 2.0 * options_->workload.bake_s + 300;
  double now = 0;
  while (now < longest && !HasEnded()) {
    // Proxies serve a step with the record that is in force at its start.
    if (in_force_.stage == RolloutStage::kBake && bake_since_ < 0) {
      bake_since_ = now;
    }
    const double length = options_->workload.step_s;
    const ModelStep step = model_.Advance(now, length, bake_since_, shares_);
    now += length;
    Count(step, now - length);

    // A record published now is in force everywhere one step later.
    const RolloutRecord next = published_;
    manager_->SetHosts(HostsAt(now));
    manager_->OnEvidence({.rollout = id_,
                          .reporter = HostId("edge"),
                          .incarnation = 1,
                          .period = ++period_,
                          .hosts = 1,
                          .cells = step.cells},
                         MonoAt(now));
    manager_->Tick(MonoAt(now), WallAt(now));
    Observe(step, now);
    if (next != in_force_) {
      in_force_ = next;
      UpdateShares();
    }
  }
  return Result(now);
}

}  // namespace

TrialResult RunTrial(const TrialOptions& options) {
  return Trial(options).Run();
}

}  // namespace camphor
