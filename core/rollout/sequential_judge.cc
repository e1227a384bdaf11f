#include "core/rollout/sequential_judge.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/rollout/latency_histogram.h"

namespace camphor {
namespace {

// Targets of the old version that are seen within this time after the first
// block count as warmed up.
constexpr Seconds kInitialTargetWindow{5};

}  // namespace

SequentialJudge::SequentialJudge(Options options) : options_(options) {}

void SequentialJudge::AddBlock(const EvidenceBlock& block) {
  if (!started_) started_ = block.end;
  include_all_targets_ = block.new_targets <= 1 || !options_.leave_one_out;
  new_target_count_ = block.new_targets;
  const std::vector<RouteBlock> routes = SplitByRoute(block);
  const BlockContext context = MakeContext(block, routes);
  for (const RouteBlock& route : routes) AddRoute(route, context);
  last_end_ = block.end;
  EndBlock();
}

BlockContext SequentialJudge::MakeContext(
    const EvidenceBlock& block, const std::vector<RouteBlock>& routes) {
  BlockContext context;
  context.is_cold = [this, now = block.end](const TargetId& target,
                                            bool is_new) {
    return IsCold(target, is_new, now);
  };
  // Without the end of the previous block, the loads are unknown.
  if (!last_end_ || block.end <= *last_end_) return context;
  const double seconds =
      std::chrono::duration<double>(block.end - *last_end_).count();
  std::set<TargetId> old_targets;
  std::set<TargetId> new_targets;
  double busy_seconds = 0;
  for (const RouteBlock& route : routes) {
    for (const EvidenceCell* cell : route.old_version.cells) {
      old_targets.insert(cell->target);
    }
    for (const EvidenceCell* cell : route.new_version.cells) {
      new_targets.insert(cell->target);
    }
    context.old_load += static_cast<double>(route.old_version.requests);
    context.new_load += static_cast<double>(route.new_version.requests);
    busy_seconds += static_cast<double>(route.new_version.requests) *
                    service_times_[route.route].Update(route.old_version);
  }
  const auto old_count =
      static_cast<double>(std::max<std::size_t>(1, old_targets.size()));
  const auto new_count =
      static_cast<double>(std::max<std::size_t>(1, new_targets.size()));
  context.old_load /= seconds * old_count;
  context.new_load /= seconds * new_count;
  context.new_utilization = busy_seconds / (seconds * new_count * block.slots);
  return context;
}

double SequentialJudge::ServiceTime::Update(const VersionCells& old_version) {
  constexpr double kHalfLifeRequests = 15;
  const auto requests = static_cast<double>(old_version.successes);
  const double mean = MeanLatencySeconds(old_version.latency);
  const double keep = std::exp2(-requests / kHalfLifeRequests);
  requests_ = requests_ * keep + requests;
  seconds_ = seconds_ * keep + requests * mean;
  return requests_ > 0 ? seconds_ / requests_ : 0;
}

void SequentialJudge::AddRoute(const RouteBlock& route,
                               const BlockContext& context) {
  RouteComparison& comparison =
      comparisons_.try_emplace(route.route, options_.comparison).first->second;
  Track& track = tracks_[route.route];
  const auto before = track.counts;
  comparison.Compare(route, context, track.counts,
                     [&](JudgeSignal signal, const TargetId& target,
                         const LogLikelihoodRatios& ratios) {
                       const auto index = static_cast<std::size_t>(signal);
                       track.statistics[index].Add(target, ratios);
                       pooled_.statistics[index].Add(target, ratios);
                     });
  for (std::size_t signal = 0; signal < kJudgeSignals; ++signal) {
    SignalCounts& all = pooled_.counts[signal];
    const SignalCounts& one = track.counts[signal];
    all.new_requests += one.new_requests - before[signal].new_requests;
    all.new_bad_events += one.new_bad_events - before[signal].new_bad_events;
    all.old_requests += one.old_requests - before[signal].old_requests;
    all.old_bad_events += one.old_bad_events - before[signal].old_bad_events;
  }
}

void SequentialJudge::EndBlock() {
  const double threshold = Threshold();
  evidence_ = 0;
  const auto end_track = [&](Track& track) {
    for (CusumStatistic& statistic : track.statistics) {
      statistic.EndBlock();
      evidence_ = std::max(evidence_, statistic.Value(MakeRule()) / threshold);
    }
  };
  for (auto& [route, track] : tracks_) end_track(track);
  end_track(pooled_);
}

void SequentialJudge::ForgetTarget(const TargetId& target) {
  const auto forget = [&](Track& track) {
    for (CusumStatistic& statistic : track.statistics) {
      statistic.RemoveTarget(target);
    }
  };
  for (auto& [route, track] : tracks_) forget(track);
  forget(pooled_);
  first_seen_.erase(target);
}

std::vector<EvidenceView> SequentialJudge::View() const {
  std::vector<EvidenceView> views;
  for (std::size_t signal = 0; signal < kJudgeSignals; ++signal) {
    views.push_back(MakeView(RouteName(), pooled_, signal));
  }
  for (const auto& [route, track] : tracks_) {
    for (std::size_t signal = 0; signal < kJudgeSignals; ++signal) {
      views.push_back(MakeView(route, track, signal));
    }
  }
  return views;
}

EvidenceView SequentialJudge::MakeView(const RouteName& route,
                                       const Track& track,
                                       std::size_t signal) const {
  const SignalCounts& counts = track.counts[signal];
  return {.route = route,
          .signal = static_cast<JudgeSignal>(signal),
          .new_requests = counts.new_requests,
          .new_bad_events = counts.new_bad_events,
          .old_requests = counts.old_requests,
          .old_bad_events = counts.old_bad_events,
          .evidence = track.statistics[signal].Value(MakeRule()) / Threshold()};
}

bool SequentialJudge::IsCold(const TargetId& target, bool is_new,
                             MonoTime now) {
  const auto [seen, first] = first_seen_.try_emplace(target, now);
  const bool from_start = seen->second <= *started_ + kInitialTargetWindow;
  if (!is_new && from_start) return false;
  return now < seen->second + options_.comparison.cold_start;
}

AggregationRule SequentialJudge::MakeRule() const {
  return {.include_all_targets = include_all_targets_,
          .version_target_count = new_target_count_,
          .max_target_evidence = options_.max_target_evidence * Threshold(),
          .outlier_fraction = options_.outlier_fraction,
          .min_outliers = options_.min_outliers};
}

double SequentialJudge::Threshold() const {
  const auto tests = static_cast<double>(kJudgeSignals * (tracks_.size() + 1));
  return std::log(static_cast<double>(kEffectSizes.size()) * tests /
                  options_.false_alarm_probability);
}

}  // namespace camphor
