#include "core/rollout/likelihood_ratios.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphor {
namespace {

constexpr double kMaxRate = 0.97;
constexpr double kMinEffect = 1.02;  // smaller effects cannot be detected

/// Returns the log-likelihood ratio, conditional on the events of both
/// versions, of a rate of `effect` times the tolerated rate over the tolerated
/// rate, which is `tolerated` times the old version's rate. The target is
/// compared with its proportional part of the old version's events.
double ConditionalRatio(const EventCounts& counts, double target_events,
                        double old_events, double tolerated, double effect) {
  const double part = counts.target_requests / counts.new_requests;
  const double scale =
      (counts.old_requests + tolerated * effect * counts.new_requests) /
      (counts.old_requests + tolerated * counts.new_requests);
  return target_events * std::log(effect) -
         (target_events + old_events * part) * std::log(scale);
}

/// Returns the log-likelihood of `bad_events` among `requests` at the given
/// rate.
double LogLikelihood(double bad_events, double requests, double rate) {
  return bad_events * std::log(rate) +
         (requests - bad_events) * std::log(1 - rate);
}

}  // namespace

LogLikelihoodRatios AbruptChangeRatios(const EventCounts& counts,
                                       const BaselineRates& rates) {
  assert(counts.new_requests > 0);
  assert(rates.baseline_rate > 0 && rates.baseline_rate < 1);
  LogLikelihoodRatios ratios{};
  const double part = counts.target_requests / counts.new_requests;
  const auto target_likelihood = [&counts](double rate) {
    return LogLikelihood(counts.target_bad_events, counts.target_requests,
                         rate);
  };
  const auto old_likelihood = [&counts, part](double rate) {
    return part *
           LogLikelihood(counts.old_bad_events, counts.old_requests, rate);
  };
  const double old_at_baseline = old_likelihood(rates.baseline_rate);
  const double null_rate = std::min(rates.tolerated_rate, kMaxRate);
  const double at_tolerated_rate =
      target_likelihood(null_rate) + old_at_baseline;
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    // If the tolerated rate is high, the effect is instead applied to the rate
    // of good events.
    const double rate =
        std::min({null_rate * kEffectSizes[size],
                  1 - (1 - null_rate) / kEffectSizes[size], kMaxRate});
    if (rate / null_rate < kMinEffect) continue;
    const double at_regression = target_likelihood(rate) + old_at_baseline;
    const double at_shared_fault = target_likelihood(rate) +
                                   old_likelihood(rate) +
                                   std::log(rates.shared_fault_probability);
    const double larger = std::max(at_tolerated_rate, at_shared_fault);
    ratios[size] = at_regression - larger -
                   std::log1p(std::exp(
                       std::min(at_tolerated_rate, at_shared_fault) - larger));
  }
  return ratios;
}

LogLikelihoodRatios RareEventRatios(const EventCounts& counts,
                                    double tolerated) {
  assert(counts.new_requests > 0 && counts.old_requests > 0);
  LogLikelihoodRatios ratios{};
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    ratios[size] =
        ConditionalRatio(counts, counts.target_bad_events,
                         counts.old_bad_events, tolerated, kEffectSizes[size]);
  }
  return ratios;
}

LogLikelihoodRatios FrequentEventRatios(const EventCounts& counts,
                                        double tolerated,
                                        double baseline_rate) {
  assert(counts.new_requests > 0 && counts.old_requests > 0);
  assert(baseline_rate > 0 && baseline_rate < 1);
  LogLikelihoodRatios ratios{};
  const double null_rate = std::min(tolerated * baseline_rate, kMaxRate);
  const double null_good_ratio = (1 - null_rate) / (1 - baseline_rate);
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    // A rate cannot exceed one, so large effects are capped.
    const double rate = std::min(null_rate * kEffectSizes[size], kMaxRate);
    const double effect = rate / null_rate;
    if (effect < kMinEffect) continue;
    const double good_effect = (1 - rate) / (1 - null_rate);
    ratios[size] =
        ConditionalRatio(counts, counts.target_bad_events,
                         counts.old_bad_events, null_rate / baseline_rate,
                         effect) +
        ConditionalRatio(counts,
                         counts.target_requests - counts.target_bad_events,
                         counts.old_requests - counts.old_bad_events,
                         null_good_ratio, good_effect);
  }
  return ratios;
}

}  // namespace camphor
