#include "core/rollout/route_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "core/rollout/hit_evidence.h"

namespace camphor {
namespace {

constexpr double kLatencyShare = 0.25;  // of the old version's requests
constexpr double kTailShare = 0.05;
constexpr double kOverloadedShare = 0.01;  // of the old version's requests
constexpr double kFewestForBounds = 100;   // successes of the old version
constexpr double kPriorRequests = 100;
constexpr double kPriorHits = 0.3;
constexpr double kHighestUsualRate = 0.95;
constexpr double kRecentRequests = 60;  // after which recent rates weigh half

std::size_t IndexOf(JudgeSignal signal) {
  return static_cast<std::size_t>(signal);
}

}  // namespace

RouteComparison::RouteComparison(const ComparisonOptions& options)
    : options_(&options) {}

void RouteComparison::Compare(const RouteBlock& block,
                              const BlockContext& context,
                              std::array<SignalCounts, kJudgeSignals>& counts,
                              const Sink& sink) {
  // Failures: a cold target counts as well, with a wider tolerance. Refusals
  // are the load's fault when the old version refuses requests too, or would.
  const bool overloaded =
      context.new_busy > options_->most_busy ||
      static_cast<double>(block.old_version.refused) >
          kOverloadedShare * static_cast<double>(block.old_version.requests);
  std::vector<Sample> old_samples;
  std::vector<Sample> new_samples;
  const auto add_failures = [&](const VersionCells& version, bool is_new,
                                std::vector<Sample>& samples) {
    samples.clear();
    for (const EvidenceCell* cell : version.cells) {
      samples.push_back({.target = &cell->target,
                         .requests = static_cast<double>(
                             overloaded ? cell->requests : RequestsOf(*cell)),
                         .hits = static_cast<double>(
                             overloaded ? cell->failures : FailuresOf(*cell)),
                         .cold = context.is_cold(cell->target, is_new)});
    }
  };
  add_failures(block.old_version, false, old_samples);
  add_failures(block.new_version, true, new_samples);
  CompareSignal(JudgeSignal::kFailures, old_samples, new_samples, context,
                counts[IndexOf(JudgeSignal::kFailures)], sink);

  // Latency: a cold target does not count, nor does one that queues.
  for (const auto& [signal, share] :
       {std::pair(JudgeSignal::kLatency, kLatencyShare),
        std::pair(JudgeSignal::kTail, kTailShare)}) {
    std::optional<std::size_t>& bucket = slow_bucket_[IndexOf(signal)];
    if (!bucket) bucket = SlowBucket(share);
    if (!bucket || context.new_busy > options_->most_busy) continue;
    const auto add_slow = [&](const VersionCells& version, bool is_new,
                              std::vector<Sample>& samples) {
      samples.clear();
      for (const EvidenceCell* cell : version.cells) {
        if (context.is_cold(cell->target, is_new)) continue;
        samples.push_back(
            {.target = &cell->target,
             .requests = static_cast<double>(CountFrom(cell->latency, 0)),
             .hits = static_cast<double>(CountFrom(cell->latency, *bucket)),
             .cold = false});
      }
    };
    add_slow(block.old_version, false, old_samples);
    add_slow(block.new_version, true, new_samples);
    CompareSignal(signal, old_samples, new_samples, context,
                  counts[IndexOf(signal)], sink);
  }
  LearnHistogram(block.old_version);
}

void RouteComparison::LearnHistogram(const VersionCells& old_version) {
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    histogram_[bucket] += old_version.latency[bucket];
  }
}

std::optional<std::size_t> RouteComparison::SlowBucket(double share) const {
  const double all = std::accumulate(histogram_.begin(), histogram_.end(), 0.0);
  if (all < kFewestForBounds) return std::nullopt;
  // Take the bucket bound whose share is nearest on the logarithmic scale.
  std::optional<std::size_t> nearest;
  double least = 0;
  double above = all;
  for (std::size_t bucket = 1; bucket < kLatencyBuckets; ++bucket) {
    above -= histogram_[bucket - 1];
    if (above <= 0) break;
    const double distance = std::abs(std::log(above / all / share));
    if (nearest && distance >= least) continue;
    nearest = bucket;
    least = distance;
  }
  return nearest;
}

void RouteComparison::CompareSignal(JudgeSignal signal,
                                    const std::vector<Sample>& old_samples,
                                    const std::vector<Sample>& new_samples,
                                    const BlockContext& context,
                                    SignalCounts& counts, const Sink& sink) {
  Baseline& baseline = baselines_[IndexOf(signal)];
  double old_requests = 0;
  double old_bad_events = 0;
  for (const Sample& sample : old_samples) {
    old_requests += sample.requests;
    old_bad_events += sample.hits;
  }
  double new_requests = 0;
  double new_bad_events = 0;
  for (const Sample& sample : new_samples) {
    new_requests += sample.requests;
    new_bad_events += sample.hits;
  }
  counts.old_requests += static_cast<std::uint64_t>(old_requests);
  counts.old_bad_events += static_cast<std::uint64_t>(old_bad_events);
  counts.new_requests += static_cast<std::uint64_t>(new_requests);
  counts.new_bad_events += static_cast<std::uint64_t>(new_bad_events);

  // Compare before learning, so that a block is not its own yardstick.
  if (new_requests > 0 && old_requests > 0) {
    const Tolerance& tolerance = options_->tolerance[IndexOf(signal)];
    const double old_rate = UsualRate(baseline);
    const double new_rate =
        baseline.new_bad_events / (baseline.new_requests + kPriorRequests);
    const double dispersion = DispersionOf(baseline);
    const double load_ratio =
        profiles_[IndexOf(signal)].Ratio(context.old_load, context.new_load);
    for (const Sample& sample : new_samples) {
      if (sample.requests <= 0) continue;
      const double excess =
          sample.cold ? options_->cold_failure_excess : tolerance.excess;
      // Were the new version as good, the old one's rate would have to be at
      // least this now: a tolerated excess weighs less beside a high rate.
      const double usual_rate =
          std::max(old_rate, (new_rate - excess) / tolerance.ratio);
      const double tolerated =
          load_ratio * (tolerance.ratio + excess / usual_rate);
      const HitCounts hits{.target_requests = sample.requests,
                           .target_hits = sample.hits,
                           .new_requests = new_requests,
                           .old_requests = old_requests,
                           .old_bad_events = old_bad_events};
      const double rate = std::min(old_rate, kHighestUsualRate);
      LogRatios ratios =
          signal != JudgeSignal::kFailures
              ? FrequentHitEvidence(hits, tolerated, rate)
          : options_->shared_fault > 0
              ? AbruptHitEvidence(
                    hits, {.usual_rate = rate,
                           .tolerated_rate = std::min(tolerated * rate,
                                                      HighestTolerated(rate)),
                           .shared_fault = options_->shared_fault})
              : RareHitEvidence(hits, tolerated);
      for (double& ratio : ratios) {
        ratio = std::min(ratio / dispersion, options_->max_block_evidence);
      }
      sink(signal, *sample.target, ratios);
    }
  }
  profiles_[IndexOf(signal)].Learn(context.old_load, old_requests,
                                   old_bad_events);
  Learn(baseline, old_samples, options_->baseline_half_life);
  const double keep = std::exp2(-new_requests / options_->new_half_life);
  baseline.new_requests = baseline.new_requests * keep + new_requests;
  baseline.new_bad_events = baseline.new_bad_events * keep + new_bad_events;
}

double RouteComparison::UsualRate(const Baseline& baseline) const {
  const double usual =
      (baseline.hits + kPriorHits) / (baseline.requests + kPriorRequests);
  if (options_->shared_fault == 0 || baseline.recent_requests < 1) return usual;
  // A fault of both versions that is over must not excuse the new one for as
  // long as the old version's few requests take to forget it.
  const double recent_at_most =
      (baseline.recent_hits + 2 * std::sqrt(baseline.recent_hits + 1)) /
      baseline.recent_requests;
  return std::min(usual, std::max(recent_at_most, kPriorHits / kPriorRequests));
}

double RouteComparison::HighestTolerated(double usual_rate) const {
  return 1 - options_->least_success * (1 - usual_rate);
}

void RouteComparison::Learn(Baseline& baseline,
                            const std::vector<Sample>& samples,
                            double half_life) {
  double requests = 0;
  double hits = 0;
  double targets = 0;
  for (const Sample& sample : samples) {
    requests += sample.requests;
    hits += sample.hits;
    if (sample.requests > 0) targets += 1;
  }
  if (requests <= 0) return;
  const double keep = std::exp2(-requests / half_life);
  baseline.requests = baseline.requests * keep + requests;
  baseline.hits = baseline.hits * keep + hits;
  const double keep_recent = std::exp2(-requests / kRecentRequests);
  baseline.recent_requests = baseline.recent_requests * keep_recent + requests;
  baseline.recent_hits = baseline.recent_hits * keep_recent + hits;

  // Targets of one version in one block differ by chance alone, or by more.
  if (targets < 2) return;
  const double rate = hits / requests;
  double deviation = 0;
  for (const Sample& sample : samples) {
    const double difference = sample.hits - sample.requests * rate;
    deviation += difference * difference;
  }
  baseline.deviation = baseline.deviation * keep + deviation;
  baseline.expected = baseline.expected * keep + hits * (targets - 1) / targets;
}

double RouteComparison::DispersionOf(const Baseline& baseline) const {
  constexpr double kPriorExpected = 20;
  const double dispersion = (baseline.deviation + kPriorExpected) /
                            (baseline.expected + kPriorExpected);
  return std::clamp(dispersion, 1.0, options_->max_dispersion);
}

}  // namespace camphor
