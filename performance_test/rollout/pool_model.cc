#include "performance_test/rollout/pool_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphor {
namespace {

constexpr double kMaxUtilisation = 0.97;
constexpr double kSecondsPerHour = 3600;
constexpr double kLoadSwingPeriodSeconds = 600;  // from peak to peak
constexpr std::size_t kTimeoutBucket = 30;       // about two seconds

/// Mean service time of a route without slowdown.
double MeanServiceMs(const RouteWorkload& route) {
  return route.latency_ms * std::exp(route.spread * route.spread / 2);
}

std::size_t RarestRoute(const Workload& workload) {
  const auto rarest =
      std::ranges::min_element(workload.routes, {}, &RouteWorkload::share);
  return static_cast<std::size_t>(rarest - workload.routes.begin());
}

}  // namespace

PoolModel::PoolModel(const Workload& workload, const RolloutKind& kind,
                     std::uint64_t seed)
    : workload_(&workload),
      kind_(kind),
      random_(seed),
      latency_(workload),
      noise_(workload.noise),
      confounder_(kind.confounder),
      rarest_route_(RarestRoute(workload)) {
  // Some bad versions also run under a confounder of the good ones.
  if (kind.bad && random_.Uniform() < workload.confounder.with_bad) {
    constexpr std::size_t kConfounders =
        static_cast<std::size_t>(Confounder::kBadHost);
    confounder_ = static_cast<Confounder>(1 + random_.Index(kConfounders));
    // With few requests, a defect that needs load would never show.
    if (confounder_ == Confounder::kFewRequests &&
        kind.trigger == DefectTrigger::kUnderLoad) {
      confounder_ = Confounder::kNone;
    }
  }
  if (confounder_ == Confounder::kNoisyLatency) {
    noise_.latency_drift *= workload.confounder.noise_factor;
    noise_.target_speed *= workload.confounder.noise_factor;
    noise_.bursts_per_hour *= workload.confounder.noise_factor;
  }
  AddTargets(false, workload.old_targets);
  AddTargets(true, workload.new_targets);
  if (confounder_ == Confounder::kBadHost) ChooseBadHost();
  if (confounder_ == Confounder::kHostsDie) ChooseHostFailures();

  bad_route_ = rarest_route_;
  if (kind.trigger == DefectTrigger::kOneRoute && workload.routes.size() > 1) {
    while (bad_route_ == rarest_route_) {
      bad_route_ = random_.Index(workload.routes.size());
    }
  }
  delayed_defect_at_ = random_.Between(0.07, 0.8) * workload.time_allowed_s;
  bake_defect_fraction_ = random_.Between(0.05, 0.5);
  shared_fault_at_ = random_.Between(0.05, 1.0) *
                     (workload.time_allowed_s + workload.bake_s / 2.0);
  swing_phase_ = random_.Between(0, 2 * std::numbers::pi);
}

void PoolModel::AddTargets(bool is_new, int count) {
  for (int index = 0; index < count; ++index) {
    const std::string name = (is_new ? "new-" : "old-") + std::to_string(index);
    targets_.push_back(
        {.id = TargetId(name),
         .host = HostId("host-" + name),
         .is_new = is_new,
         .speed = std::exp(noise_.target_speed * random_.Normal()),
         .errors = std::exp(noise_.target_errors * random_.Normal())});
    if (!is_new) targets_.back().cold_start_at = -kSecondsPerHour;
  }
}

void PoolModel::ChooseBadHost() {
  // Prefers a host of the new version: there the fault is easily
  // mistaken for a fault of the version.
  const bool is_new = random_.Uniform() < 0.75;
  std::vector<std::size_t> candidates;
  for (std::size_t index = 0; index < targets_.size(); ++index) {
    if (targets_[index].is_new == is_new) candidates.push_back(index);
  }
  ModelTarget& target = targets_[candidates[random_.Index(candidates.size())]];
  target.bad_host = true;
  target.bad_host_causes_errors = random_.Uniform() < 0.5;
}

void PoolModel::ChooseHostFailures() {
  const double duration = workload_->time_allowed_s + workload_->bake_s;
  for (const bool is_new : {false, true}) {
    const int count = is_new ? workload_->new_targets : workload_->old_targets;
    const int deaths = std::min(
        count - 1, static_cast<int>(std::lround(workload_->confounder.deaths)));
    for (int death = 0; death < deaths; ++death) {
      const std::size_t offset = is_new ? workload_->old_targets : 0;
      targets_[offset + random_.Index(count)].host_fails_at =
          random_.Between(0, duration);
    }
  }
}

bool PoolModel::IsDetectedDead(const ModelTarget& target, double now) const {
  if (target.host_fails_at < 0) return false;
  return now >= target.host_fails_at + workload_->confounder.detect_s &&
         now < target.host_fails_at + workload_->confounder.restart_s;
}

PoolModel::SharedConditions PoolModel::UpdateSharedConditions(double now,
                                                              double length) {
  SharedConditions shared;
  // The shared rates follow an autoregressive process about their usual values.
  const double correlation = std::exp(-length / noise_.drift_s);
  const double innovation = std::sqrt(1 - correlation * correlation);
  error_drift_ = error_drift_ * correlation + innovation * random_.Normal();
  latency_drift_ = latency_drift_ * correlation + innovation * random_.Normal();
  shared.errors = std::exp(noise_.error_drift * error_drift_);
  shared.slowdown = std::exp(noise_.latency_drift * latency_drift_);

  const ConfounderParameters& confounder = workload_->confounder;
  const bool shared_fault =
      now >= shared_fault_at_ && now < shared_fault_at_ + confounder.shared_s;
  if (confounder_ == Confounder::kSharedErrors && shared_fault) {
    shared.failures = confounder.shared_errors;
  }
  if (confounder_ == Confounder::kSharedSlowness && shared_fault) {
    shared.slowdown *= confounder.shared_slowdown;
  }
  if (confounder_ == Confounder::kLoadSwings) {
    const double wave = std::sin(
        2 * std::numbers::pi * now / kLoadSwingPeriodSeconds + swing_phase_);
    shared.load = 1 + (confounder.load_swing - 1) * wave;
    shared.load = std::max(shared.load, 0.2);
  }
  if (confounder_ == Confounder::kFewRequests) {
    shared.load = confounder.few_requests;
  }
  return shared;
}

void PoolModel::UpdateDisturbances(ModelTarget& target, double now,
                                   double length, bool used) {
  if (used && target.is_new && target.cold_start_at < 0) {
    target.cold_start_at = now;
  }
  if (target.host_fails_at >= 0 &&
      now >= target.host_fails_at + workload_->confounder.restart_s) {
    target.cold_start_at = now;
    target.host_fails_at = -1;
  }
  const double chance = noise_.bursts_per_hour * length / kSecondsPerHour;
  if (now >= target.burst_until && random_.Uniform() < chance) {
    target.burst_until = now + noise_.burst_s * random_.Between(0.5, 1.5);
    target.burst_causes_errors = random_.Uniform() < 0.5;
  }
}

double PoolModel::TargetSlowdown(const ModelTarget& target, double now) const {
  double slowdown = target.speed;
  const bool long_cold_start = confounder_ == Confounder::kColdStart;
  const double initial = long_cold_start ? workload_->confounder.cold_slowdown
                                         : noise_.cold_slowdown;
  const double decay = long_cold_start ? workload_->confounder.cold_start_s
                                       : noise_.cold_start_s;
  if (target.cold_start_at >= 0) {
    slowdown *=
        1 + (initial - 1) * std::exp(-(now - target.cold_start_at) / decay);
  }
  if (now < target.burst_until && !target.burst_causes_errors) {
    slowdown *= noise_.burst_slowdown;
  }
  if (target.bad_host && !target.bad_host_causes_errors) {
    slowdown *= workload_->confounder.bad_host_slowdown;
  }
  return slowdown;
}

double PoolModel::TargetFailureRate(const ModelTarget& target,
                                    double now) const {
  if (target.host_fails_at >= 0 && now >= target.host_fails_at) return 1;
  double failures = 0;
  const bool long_cold_start = confounder_ == Confounder::kColdStart;
  const double initial =
      long_cold_start ? workload_->confounder.cold_errors : noise_.cold_errors;
  const double decay = long_cold_start ? workload_->confounder.cold_start_s
                                       : noise_.cold_start_s;
  if (target.cold_start_at >= 0) {
    failures += initial * std::exp(-(now - target.cold_start_at) / decay);
  }
  if (now < target.burst_until && target.burst_causes_errors) {
    failures += noise_.burst_errors;
  }
  if (target.bad_host && target.bad_host_causes_errors) {
    failures += workload_->confounder.bad_host_errors;
  }
  return failures;
}

bool PoolModel::ShowsDefect(const ModelTarget& target, std::size_t route,
                            double load, double now, double bake_started_at) {
  if (!kind_.bad || !target.is_new) return false;
  switch (kind_.trigger) {
    case DefectTrigger::kAtOnce:
      return true;
    case DefectTrigger::kLater:
      return now >= delayed_defect_at_;
    case DefectTrigger::kInBake:
      return bake_started_at >= 0 &&
             now >= bake_started_at + bake_defect_fraction_ * workload_->bake_s;
    case DefectTrigger::kUnderLoad: {
      const double normal = workload_->request_rate / workload_->old_targets;
      return load >= normal * workload_->bad.load_threshold;
    }
    case DefectTrigger::kOneRoute:
    case DefectTrigger::kRareRoute:
      return route == bad_route_;
  }
  return false;
}

void PoolModel::SimulateTarget(ModelTarget& target,
                               const std::vector<double>& rates, double now,
                               double length, double bake_started_at,
                               const SharedConditions& shared,
                               ModelStep& step) {
  // Utilisation of the target's slots.
  double rate = 0;
  double work_ms = 0;
  const double target_slowdown = TargetSlowdown(target, now) * shared.slowdown;
  const BadVersionParameters& bad = workload_->bad;
  const double bad_slowdown =
      kind_.gross ? bad.gross_slowdown : bad.mild_slowdown;
  const double bad_failure = kind_.gross ? bad.gross_failure : bad.mild_failure;
  for (const double route_rate : rates) rate += route_rate;
  if (rate <= 0) return;
  std::vector<double> slowdowns(rates.size(), target_slowdown);
  std::vector<bool> is_bad(rates.size(), false);
  for (std::size_t route = 0; route < rates.size(); ++route) {
    is_bad[route] = ShowsDefect(target, route, rate, now, bake_started_at);
    if (is_bad[route] && !kind_.fails) slowdowns[route] *= bad_slowdown;
    work_ms += rates[route] * slowdowns[route] *
               MeanServiceMs(workload_->routes[route]);
  }
  const double utilisation = work_ms / 1000 / workload_->slots;
  const LatencyModel::Load load{
      .utilisation = std::min(utilisation, kMaxUtilisation),
      .service_ms = work_ms / rate};
  const double refusal_probability =
      utilisation > kMaxUtilisation ? 1 - kMaxUtilisation / utilisation : 0;

  // Outcomes of the requests, by route.
  const double target_failures = TargetFailureRate(target, now);
  for (std::size_t route = 0; route < rates.size(); ++route) {
    const std::uint64_t arrived = random_.Poisson(rates[route] * length);
    if (arrived == 0) continue;
    EvidenceCell cell{
        .route = RouteName(workload_->routes[route].name),
        .version = TargetVersion(target.is_new ? kNewVersion : kOldVersion),
        .target = target.id};
    cell.refused = random_.Binomial(arrived, refusal_probability);
    cell.requests = arrived - cell.refused;
    double failures =
        workload_->routes[route].error_rate * shared.errors * target.errors +
        shared.failures + target_failures;
    if (is_bad[route] && kind_.fails) failures += bad_failure;
    cell.failures = random_.Binomial(cell.requests, std::min(failures, 1.0));
    cell.latency = latency_.Draw(route, slowdowns[route], load,
                                 cell.requests - cell.failures, random_);
    // Requests in the slowest buckets time out and count as failures.
    for (std::size_t bucket = kTimeoutBucket; bucket < kLatencyBuckets;
         ++bucket) {
      cell.failures += cell.latency[bucket];
      cell.latency[bucket] = 0;
    }
    step.requests += arrived;
    if (target.is_new) step.new_requests += arrived;
    if (is_bad[route]) step.defect_visible = true;
    step.cells.push_back(std::move(cell));
  }
}

ModelStep PoolModel::Advance(double now, double length, double bake_started_at,
                             const TrafficSplit& shares) {
  ModelStep step;
  const SharedConditions shared = UpdateSharedConditions(now, length);
  const std::size_t routes = workload_->routes.size();

  // The targets among which the requests of each version are divided.
  std::vector<bool> used(targets_.size(), false);
  double old_count = 0;
  double new_count = 0;
  for (std::size_t index = 0; index < targets_.size(); ++index) {
    if (!shares.in_use[index] || IsDetectedDead(targets_[index], now)) continue;
    used[index] = true;
    (targets_[index].is_new ? new_count : old_count) += 1;
  }
  for (std::size_t index = 0; index < targets_.size(); ++index) {
    ModelTarget& target = targets_[index];
    UpdateDisturbances(target, now, length, used[index]);
    if (!used[index]) continue;
    std::vector<double> rates(routes, 0);
    for (std::size_t route = 0; route < routes; ++route) {
      // If one version has no targets, the other serves all requests.
      double new_share = shares.new_share[route];
      if (new_count == 0) new_share = 0;
      if (old_count == 0) new_share = 1;
      const double share = target.is_new
                               ? new_share / std::max(new_count, 1.0)
                               : (1 - new_share) / std::max(old_count, 1.0);
      rates[route] = workload_->request_rate * shared.load *
                     workload_->routes[route].share * share;
    }
    SimulateTarget(target, rates, now, length, bake_started_at, shared, step);
  }
  if (step.defect_visible) step.bad_requests = step.new_requests;
  return step;
}

}  // namespace camphor
