#include "core/rollout/route_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "core/rollout/likelihood_ratios.h"

namespace camphor {
namespace {

constexpr double kLatencyShare = 0.25;  // of the old version's requests
constexpr double kTailShare = 0.05;
constexpr double kOverloadedShare = 0.01;      // of the old version's requests
constexpr double kMinRequestsForBounds = 100;  // successes of the old version
constexpr double kPriorRequests = 100;
constexpr double kPriorBadEvents = 0.3;
constexpr double kMaxBaselineRate = 0.95;
constexpr double kRecentHalfLife = 60;  // of recent rates, in requests

std::size_t SignalIndex(JudgeSignal signal) {
  return static_cast<std::size_t>(signal);
}

}  // namespace

RouteComparison::RouteComparison(const ComparisonOptions& options)
    : options_(&options) {}

void RouteComparison::Compare(const RouteBlock& block,
                              const BlockContext& context,
                              std::array<SignalCounts, kJudgeSignals>& counts,
                              const Sink& sink) {
  // Failures: cold targets are included, with a wider tolerance. Refusals are
  // attributed to the load if the old version refuses requests too, or would.
  const bool overloaded =
      context.new_utilization > options_->max_utilization ||
      static_cast<double>(block.old_version.refused) >
          kOverloadedShare * static_cast<double>(block.old_version.requests);
  std::vector<Sample> old_samples;
  std::vector<Sample> new_samples;
  const auto add_failures = [&](const VersionCells& version, bool is_new,
                                std::vector<Sample>& samples) {
    samples.clear();
    for (const EvidenceCell* cell : version.cells) {
      samples.push_back(
          {.target = &cell->target,
           .requests = static_cast<double>(overloaded ? cell->requests
                                                      : TotalRequests(*cell)),
           .bad_events = static_cast<double>(overloaded ? cell->failures
                                                        : TotalFailures(*cell)),
           .cold = context.is_cold(cell->target, is_new)});
    }
  };
  add_failures(block.old_version, false, old_samples);
  add_failures(block.new_version, true, new_samples);
  CompareSignal(JudgeSignal::kFailures, old_samples, new_samples, context,
                counts[SignalIndex(JudgeSignal::kFailures)], sink);

  // Latency: cold targets and overloaded blocks are skipped.
  for (const auto& [signal, share] :
       {std::pair(JudgeSignal::kLatency, kLatencyShare),
        std::pair(JudgeSignal::kTail, kTailShare)}) {
    std::optional<std::size_t>& bucket = slow_bucket_[SignalIndex(signal)];
    if (!bucket) bucket = SlowBucket(share);
    if (!bucket || context.new_utilization > options_->max_utilization) {
      continue;
    }
    const auto add_slow = [&](const VersionCells& version, bool is_new,
                              std::vector<Sample>& samples) {
      samples.clear();
      for (const EvidenceCell* cell : version.cells) {
        if (context.is_cold(cell->target, is_new)) continue;
        samples.push_back(
            {.target = &cell->target,
             .requests = static_cast<double>(CountFrom(cell->latency, 0)),
             .bad_events =
                 static_cast<double>(CountFrom(cell->latency, *bucket)),
             .cold = false});
      }
    };
    add_slow(block.old_version, false, old_samples);
    add_slow(block.new_version, true, new_samples);
    CompareSignal(signal, old_samples, new_samples, context,
                  counts[SignalIndex(signal)], sink);
  }
  UpdateHistogram(block.old_version);
}

void RouteComparison::UpdateHistogram(const VersionCells& old_version) {
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    histogram_[bucket] += old_version.latency[bucket];
  }
}

std::optional<std::size_t> RouteComparison::SlowBucket(double share) const {
  const double all = std::accumulate(histogram_.begin(), histogram_.end(), 0.0);
  if (all < kMinRequestsForBounds) return std::nullopt;
  // Select the bucket bound whose share is nearest on a logarithmic scale.
  std::optional<std::size_t> nearest;
  double min_distance = 0;
  double above = all;
  for (std::size_t bucket = 1; bucket < kLatencyBuckets; ++bucket) {
    above -= histogram_[bucket - 1];
    if (above <= 0) break;
    const double distance = std::abs(std::log(above / all / share));
    if (nearest && distance >= min_distance) continue;
    nearest = bucket;
    min_distance = distance;
  }
  return nearest;
}

void RouteComparison::CompareSignal(JudgeSignal signal,
                                    const std::vector<Sample>& old_samples,
                                    const std::vector<Sample>& new_samples,
                                    const BlockContext& context,
                                    SignalCounts& counts, const Sink& sink) {
  Baseline& baseline = baselines_[SignalIndex(signal)];
  double old_requests = 0;
  double old_bad_events = 0;
  for (const Sample& sample : old_samples) {
    old_requests += sample.requests;
    old_bad_events += sample.bad_events;
  }
  double new_requests = 0;
  double new_bad_events = 0;
  for (const Sample& sample : new_samples) {
    new_requests += sample.requests;
    new_bad_events += sample.bad_events;
  }
  counts.old_requests += static_cast<std::uint64_t>(old_requests);
  counts.old_bad_events += static_cast<std::uint64_t>(old_bad_events);
  counts.new_requests += static_cast<std::uint64_t>(new_requests);
  counts.new_bad_events += static_cast<std::uint64_t>(new_bad_events);

  // Compare before updating the baseline, so that a block is not compared with
  // itself.
  if (new_requests > 0 && old_requests > 0) {
    const Tolerance& tolerance = options_->tolerance[SignalIndex(signal)];
    const double old_rate = BaselineRate(baseline);
    const double new_rate =
        baseline.new_bad_events / (baseline.new_requests + kPriorRequests);
    const double dispersion = Dispersion(baseline);
    const double load_ratio = profiles_[SignalIndex(signal)].Ratio(
        context.old_load, context.new_load);
    for (const Sample& sample : new_samples) {
      if (sample.requests <= 0) continue;
      const double excess =
          sample.cold ? options_->cold_failure_excess : tolerance.excess;
      // If the new version were tolerable, the rate of the old version would
      // now be at least this. The higher the rate, the less the tolerated
      // excess matters.
      const double baseline_rate =
          std::max(old_rate, (new_rate - excess) / tolerance.ratio);
      const double tolerated =
          load_ratio * (tolerance.ratio + excess / baseline_rate);
      const EventCounts events{.target_requests = sample.requests,
                               .target_bad_events = sample.bad_events,
                               .new_requests = new_requests,
                               .old_requests = old_requests,
                               .old_bad_events = old_bad_events};
      const double rate = std::min(old_rate, kMaxBaselineRate);
      LogLikelihoodRatios ratios =
          signal != JudgeSignal::kFailures
              ? FrequentEventRatios(events, tolerated, rate)
          : options_->shared_fault_probability > 0
              ? AbruptChangeRatios(
                    events, {.baseline_rate = rate,
                             .tolerated_rate = std::min(tolerated * rate,
                                                        MaxToleratedRate(rate)),
                             .shared_fault_probability =
                                 options_->shared_fault_probability})
              : RareEventRatios(events, tolerated);
      for (double& ratio : ratios) {
        ratio = std::min(ratio / dispersion, options_->max_block_evidence);
      }
      sink(signal, *sample.target, ratios);
    }
  }
  profiles_[SignalIndex(signal)].Update(context.old_load, old_requests,
                                        old_bad_events);
  Update(baseline, old_samples, options_->baseline_half_life);
  const double keep = std::exp2(-new_requests / options_->new_half_life);
  baseline.new_requests = baseline.new_requests * keep + new_requests;
  baseline.new_bad_events = baseline.new_bad_events * keep + new_bad_events;
}

double RouteComparison::BaselineRate(const Baseline& baseline) const {
  const double long_term = (baseline.bad_events + kPriorBadEvents) /
                           (baseline.requests + kPriorRequests);
  if (options_->shared_fault_probability == 0 || baseline.recent_requests < 1) {
    return long_term;
  }
  // A past fault of both versions raises the old version's rate, which decays
  // slowly if the version gets few requests. Bound it by the recent rate, so
  // that the new version is not tolerated for as long.
  const double max_recent_rate =
      (baseline.recent_bad_events +
       2 * std::sqrt(baseline.recent_bad_events + 1)) /
      baseline.recent_requests;
  return std::min(long_term,
                  std::max(max_recent_rate, kPriorBadEvents / kPriorRequests));
}

double RouteComparison::MaxToleratedRate(double baseline_rate) const {
  return 1 - options_->min_success_ratio * (1 - baseline_rate);
}

void RouteComparison::Update(Baseline& baseline,
                             const std::vector<Sample>& samples,
                             double half_life) {
  double requests = 0;
  double bad_events = 0;
  double targets = 0;
  for (const Sample& sample : samples) {
    requests += sample.requests;
    bad_events += sample.bad_events;
    if (sample.requests > 0) targets += 1;
  }
  if (requests <= 0) return;
  const double keep = std::exp2(-requests / half_life);
  baseline.requests = baseline.requests * keep + requests;
  baseline.bad_events = baseline.bad_events * keep + bad_events;
  const double keep_recent = std::exp2(-requests / kRecentHalfLife);
  baseline.recent_requests = baseline.recent_requests * keep_recent + requests;
  baseline.recent_bad_events =
      baseline.recent_bad_events * keep_recent + bad_events;

  // Compare the differences among the targets of one block with those expected
  // by chance.
  if (targets < 2) return;
  const double rate = bad_events / requests;
  double deviation = 0;
  for (const Sample& sample : samples) {
    const double difference = sample.bad_events - sample.requests * rate;
    deviation += difference * difference;
  }
  baseline.deviation = baseline.deviation * keep + deviation;
  baseline.expected =
      baseline.expected * keep + bad_events * (targets - 1) / targets;
}

double RouteComparison::Dispersion(const Baseline& baseline) const {
  constexpr double kPriorExpected = 20;
  const double dispersion = (baseline.deviation + kPriorExpected) /
                            (baseline.expected + kPriorExpected);
  return std::clamp(dispersion, 1.0, options_->max_dispersion);
}

}  // namespace camphor
