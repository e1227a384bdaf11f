#include "performance_test/rollout/window_judge.h"

#include <algorithm>
#include <cmath>

namespace camphor {
namespace {

constexpr double kMinRequests = 50;

/// First bucket at or above which at most the given share of the requests lies.
std::size_t SlowBucket(const LatencyHistogram& histogram, double share) {
  const auto total = static_cast<double>(CountFrom(histogram, 0));
  for (std::size_t bucket = 1; bucket < kLatencyBuckets; ++bucket) {
    if (static_cast<double>(CountFrom(histogram, bucket)) <= share * total) {
      return bucket;
    }
  }
  return kLatencyBuckets - 1;
}

}  // namespace

void WindowJudge::AddBlock(const EvidenceBlock& block) {
  Entry entry{.end = block.end};
  for (const RouteBlock& route : SplitByRoute(block)) {
    std::array<Totals, 2>& totals = entry.routes[route.route];
    totals[0] = {.requests = route.old_version.requests,
                 .failures = route.old_version.failures,
                 .latency = route.old_version.latency};
    totals[1] = {.requests = route.new_version.requests,
                 .failures = route.new_version.failures,
                 .latency = route.new_version.latency};
  }
  entries_.push_back(std::move(entry));
  while (entries_.front().end + options_.window <= block.end) {
    entries_.pop_front();
  }
  Evaluate();
}

void WindowJudge::Evaluate() {
  std::map<RouteName, std::array<Totals, 2>> sums;
  for (const Entry& entry : entries_) {
    for (const auto& [route, totals] : entry.routes) {
      std::array<Totals, 2>& sum = sums[route];
      for (std::size_t version = 0; version < sum.size(); ++version) {
        sum[version].requests += totals[version].requests;
        sum[version].failures += totals[version].failures;
        for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
          sum[version].latency[bucket] += totals[version].latency[bucket];
        }
      }
    }
  }
  views_.clear();
  evidence_ = 0;
  for (const auto& [route, totals] : sums) {
    for (const JudgeSignal signal :
         {JudgeSignal::kFailures, JudgeSignal::kTail}) {
      const SignalCounts counts = SignalCountsFor(totals, signal);
      const double evidence = options_.test(counts, signal);
      views_.push_back({.route = route,
                        .signal = signal,
                        .new_requests = counts.new_requests,
                        .new_bad_events = counts.new_bad_events,
                        .old_requests = counts.old_requests,
                        .old_bad_events = counts.old_bad_events,
                        .evidence = evidence});
      evidence_ = std::max(evidence_, evidence);
    }
  }
}

SignalCounts WindowJudge::SignalCountsFor(const std::array<Totals, 2>& totals,
                                          JudgeSignal signal) {
  const auto& [old_version, new_version] = totals;
  if (signal == JudgeSignal::kFailures) {
    return {.new_requests = new_version.requests,
            .new_bad_events = new_version.failures,
            .old_requests = old_version.requests,
            .old_bad_events = old_version.failures};
  }
  const std::size_t bucket = SlowBucket(old_version.latency, 0.1);
  return {.new_requests = CountFrom(new_version.latency, 0),
          .new_bad_events = CountFrom(new_version.latency, bucket),
          .old_requests = CountFrom(old_version.latency, 0),
          .old_bad_events = CountFrom(old_version.latency, bucket)};
}

double FixedThresholdEvidence(const SignalCounts& counts, JudgeSignal signal) {
  const auto new_requests = static_cast<double>(counts.new_requests);
  const auto old_requests = static_cast<double>(counts.old_requests);
  if (new_requests < kMinRequests || old_requests < kMinRequests) {
    return 0;
  }
  const double new_rate =
      static_cast<double>(counts.new_bad_events) / new_requests;
  const double old_rate =
      static_cast<double>(counts.old_bad_events) / old_requests;
  const double excess = signal == JudgeSignal::kFailures ? 0.01 : 0.02;
  return new_rate > 2 * old_rate && new_rate > old_rate + excess ? 1 : 0;
}

double TwoProportionEvidence(const SignalCounts& counts, double score) {
  const auto new_requests = static_cast<double>(counts.new_requests);
  const auto old_requests = static_cast<double>(counts.old_requests);
  if (new_requests < kMinRequests || old_requests < kMinRequests) {
    return 0;
  }
  const double pooled_rate =
      static_cast<double>(counts.new_bad_events + counts.old_bad_events) /
      (new_requests + old_requests);
  const double deviation = std::sqrt(pooled_rate * (1 - pooled_rate) *
                                     (1 / new_requests + 1 / old_requests));
  if (deviation <= 0) return 0;
  const double difference =
      static_cast<double>(counts.new_bad_events) / new_requests -
      static_cast<double>(counts.old_bad_events) / old_requests;
  return std::max(0.0, difference / deviation / score);
}

}  // namespace camphor
