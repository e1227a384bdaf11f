#include "core/rollout/hit_evidence.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphor {
namespace {

constexpr double kHighestRate = 0.97;
constexpr double kLeastEffect = 1.02;  // a smaller one cannot be told

/// Log likelihood ratio of events that the new version is to have `effect`
/// times as often as `tolerated` times the old version's rate. The target is
/// set against its part of the old version's events.
double ConditionalRatio(const HitCounts& counts, double target_events,
                        double old_events, double tolerated, double effect) {
  const double part = counts.target_requests / counts.new_requests;
  const double scale =
      (counts.old_requests + tolerated * effect * counts.new_requests) /
      (counts.old_requests + tolerated * counts.new_requests);
  return target_events * std::log(effect) -
         (target_events + old_events * part) * std::log(scale);
}

/// Log likelihood of `hits` among `requests` at a rate.
double LogChance(double hits, double requests, double rate) {
  return hits * std::log(rate) + (requests - hits) * std::log(1 - rate);
}

}  // namespace

LogRatios AbruptHitEvidence(const HitCounts& counts, const HitRates& rates) {
  assert(counts.new_requests > 0);
  assert(rates.usual_rate > 0 && rates.usual_rate < 1);
  LogRatios ratios{};
  const double part = counts.target_requests / counts.new_requests;
  const auto of_target = [&counts](double rate) {
    return LogChance(counts.target_hits, counts.target_requests, rate);
  };
  const auto of_old = [&counts, part](double rate) {
    return part * LogChance(counts.old_bad_events, counts.old_requests, rate);
  };
  const double usual_old = of_old(rates.usual_rate);
  const double null_rate = std::min(rates.tolerated_rate, kHighestRate);
  const double as_usual = of_target(null_rate) + usual_old;
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    // Beside a high rate the effect is one on the requests that succeed.
    const double rate =
        std::min({null_rate * kEffectSizes[size],
                  1 - (1 - null_rate) / kEffectSizes[size], kHighestRate});
    if (rate / null_rate < kLeastEffect) continue;
    const double bad = of_target(rate) + usual_old;
    const double shared =
        of_target(rate) + of_old(rate) + std::log(rates.shared_fault);
    const double larger = std::max(as_usual, shared);
    ratios[size] = bad - larger -
                   std::log1p(std::exp(std::min(as_usual, shared) - larger));
  }
  return ratios;
}

LogRatios RareHitEvidence(const HitCounts& counts, double tolerated) {
  assert(counts.new_requests > 0 && counts.old_requests > 0);
  LogRatios ratios{};
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    ratios[size] =
        ConditionalRatio(counts, counts.target_hits, counts.old_bad_events,
                         tolerated, kEffectSizes[size]);
  }
  return ratios;
}

LogRatios FrequentHitEvidence(const HitCounts& counts, double tolerated,
                              double usual_rate) {
  assert(counts.new_requests > 0 && counts.old_requests > 0);
  assert(usual_rate > 0 && usual_rate < 1);
  LogRatios ratios{};
  const double null_rate = std::min(tolerated * usual_rate, kHighestRate);
  const double null_misses = (1 - null_rate) / (1 - usual_rate);
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    // A rate cannot pass one: large effects are as large as they can be.
    const double rate = std::min(null_rate * kEffectSizes[size], kHighestRate);
    const double effect = rate / null_rate;
    if (effect < kLeastEffect) continue;
    const double misses_effect = (1 - rate) / (1 - null_rate);
    ratios[size] =
        ConditionalRatio(counts, counts.target_hits, counts.old_bad_events,
                         null_rate / usual_rate, effect) +
        ConditionalRatio(counts, counts.target_requests - counts.target_hits,
                         counts.old_requests - counts.old_bad_events,
                         null_misses, misses_effect);
  }
  return ratios;
}

}  // namespace camphor
