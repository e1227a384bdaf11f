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

/// Runs the RolloutManager of the rollout's owner against the pool model.
class Trial {
 public:
  explicit Trial(const TrialOptions& options);
  TrialResult Run();

 private:
  static RolloutOptions MakeShortRolloutOptions(const RolloutOptions& settings);
  static ConfigSnapshotPtr MakeSnapshot(const Workload& workload);
  std::map<HostId, HostRecord> MakeHostRecords(double now) const;
  HostId ChooseOwnerName() const;
  void UpdateShares();
  void AddToTotals(const ModelStep& step, double now);
  void ReportSample(const ModelStep& step, double now) const;
  bool HasOutcomeDeadline() const {
    return options_->workload.outcome_within_s > 0;
  }
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
  TrafficSplit shares_;
  std::uint64_t period_ = 0;
  std::uint64_t pool_requests_ = 0;
  std::uint64_t new_requests_ = 0;
  std::uint64_t bad_requests_ = 0;
  std::optional<double> defect_since_;
  double bake_started_at_ = -1;
};

Trial::Trial(const TrialOptions& options)
    : options_(&options),
      model_(options.workload, options.kind, options.seed),
      snapshot_(MakeSnapshot(options.workload)),
      id_(RolloutKey::FromPool(snapshot_->pools.front()).id()),
      owner_(ChooseOwnerName()),
      published_{.id = id_},
      in_force_{.id = id_} {
  manager_ = std::make_unique<RolloutManager>(RolloutManager::Options{
      .host = owner_,
      .incarnation = 1,
      .publish = [this](const RolloutRecord& record) { published_ = record; },
      .rollout = options.rollout,
      .short_rollout = MakeShortRolloutOptions(options.rollout)});
  manager_->SetConfig(snapshot_);
  if (HasOutcomeDeadline()) {
    const RolloutRecord initial{.id = id_, .ordered_at = kOrderedAt};
    published_ = in_force_ = initial;
    manager_->OnRecord(initial);
  }
  UpdateShares();
}

RolloutOptions Trial::MakeShortRolloutOptions(const RolloutOptions& settings) {
  RolloutOptions options = ShortRolloutOptions();
  options.make_judge = settings.make_judge;
  return options;
}

ConfigSnapshotPtr Trial::MakeSnapshot(const Workload& workload) {
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

HostId Trial::ChooseOwnerName() const {
  // Searches for a name that the evidence tree makes the owner.
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

std::map<HostId, HostRecord> Trial::MakeHostRecords(double now) const {
  std::map<HostId, HostRecord> hosts;
  hosts[owner_] = {.host = owner_};
  for (const ModelTarget& target : model_.targets()) {
    HostRecord record{.host = target.host};
    if (model_.IsDetectedDead(target, now)) record.status = HostStatus::kDead;
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
  // Chooses the same canary targets as the routing does.
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

void Trial::AddToTotals(const ModelStep& step, double now) {
  pool_requests_ += step.requests;
  new_requests_ += step.new_requests;
  bad_requests_ += step.bad_requests;
  if (step.defect_visible && !defect_since_) defect_since_ = now;
}

void Trial::ReportSample(const ModelStep& step, double now) const {
  if (!options_->on_sample) return;
  TrialSample sample{.seconds = now, .record = in_force_};
  for (const EvidenceCell& cell : step.cells) {
    const bool is_new = cell.version.value() == kNewVersion;
    (is_new ? sample.new_requests : sample.old_requests) += cell.requests;
    (is_new ? sample.new_failures : sample.old_failures) += cell.failures;
  }
  const boost::json::value state = boost::json::parse(manager_->DumpJson());
  if (const auto* rows = state.at(0).as_object().if_contains("evidence")) {
    for (const boost::json::value& row : rows->as_array()) {
      sample.evidence =
          std::max(sample.evidence, row.at("evidence").to_number<double>());
    }
  }
  options_->on_sample(sample);
}

TrialResult Trial::Result(double now) const {
  TrialResult result{
      .ended = HasEnded(),
      .rolled_back = in_force_.stage == RolloutStage::kRolledBack,
      .bad_requests = bad_requests_,
      .reason = in_force_.reason};
  // The deadline holds for the outcome if the order limits it, otherwise for
  // full share.
  const Workload& workload = options_->workload;
  const double finished_at = HasOutcomeDeadline() ? now : bake_started_at_;
  result.in_time = in_force_.stage == RolloutStage::kDone && finished_at >= 0 &&
                   finished_at <= workload.time_allowed_s;
  const double remaining_s = std::max(0.0, workload.time_allowed_s - now);
  result.new_share = static_cast<double>(new_requests_) /
                     std::max(1.0, static_cast<double>(pool_requests_) +
                                       remaining_s * workload.request_rate);
  if (pool_requests_ > 0) {
    result.bad_share = static_cast<double>(bad_requests_) /
                       static_cast<double>(pool_requests_);
  }
  if (defect_since_) result.rollback_delay_s = now - *defect_since_;
  return result;
}

TrialResult Trial::Run() {
  const double max_duration_s =
      options_->workload.time_allowed_s + 2.0 * options_->workload.bake_s + 300;
  double now = 0;
  while (now < max_duration_s && !HasEnded()) {
    // Proxies serve a whole step with the record in force at its start.
    if (in_force_.stage == RolloutStage::kBake && bake_started_at_ < 0) {
      bake_started_at_ = now;
    }
    const double length = options_->workload.step_s;
    const ModelStep step =
        model_.Advance(now, length, bake_started_at_, shares_);
    now += length;
    AddToTotals(step, now - length);

    // A record published in this step takes effect everywhere one step later.
    const RolloutRecord next_in_force = published_;
    manager_->SetHosts(MakeHostRecords(now));
    manager_->OnEvidence({.rollout = id_,
                          .reporter = HostId("edge"),
                          .incarnation = 1,
                          .period = ++period_,
                          .hosts = 1,
                          .cells = step.cells},
                         MonoAt(now));
    manager_->Tick(MonoAt(now), WallAt(now));
    ReportSample(step, now);
    if (next_in_force != in_force_) {
      in_force_ = next_in_force;
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
