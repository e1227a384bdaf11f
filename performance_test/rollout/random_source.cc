#include "performance_test/rollout/random_source.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphor {
namespace {

// Mean of a Poisson, or variance of a binomial distribution, above which the
// normal approximation is accurate enough.
constexpr double kNormalApproximationMin = 40;

}  // namespace

double RandomSource::Uniform() {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(engine_() >> (64 - kMantissaBits)) *
         std::exp2(-kMantissaBits);
}

double RandomSource::Between(double low, double high) {
  return low + (high - low) * Uniform();
}

std::size_t RandomSource::Index(std::size_t count) {
  assert(count > 0);
  return std::min(count - 1, static_cast<std::size_t>(
                                 Uniform() * static_cast<double>(count)));
}

double RandomSource::Normal() {
  if (has_spare_) {
    has_spare_ = false;
    return spare_;
  }
  // Polar method: both coordinates of a point in the unit disc.
  double x = 0;
  double y = 0;
  double square = 0;
  do {
    x = Between(-1, 1);
    y = Between(-1, 1);
    square = x * x + y * y;
  } while (square >= 1 || square == 0);
  const double scale = std::sqrt(-2 * std::log(square) / square);
  spare_ = y * scale;
  has_spare_ = true;
  return x * scale;
}

std::uint64_t RandomSource::Poisson(double mean) {
  if (mean <= 0) return 0;
  if (mean > kNormalApproximationMin) {
    return static_cast<std::uint64_t>(
        std::max(0.0, std::round(mean + std::sqrt(mean) * Normal())));
  }
  const double limit = std::exp(-mean);
  std::uint64_t count = 0;
  for (double product = Uniform(); product > limit; product *= Uniform()) {
    ++count;
  }
  return count;
}

std::uint64_t RandomSource::Binomial(std::uint64_t trials, double probability) {
  if (trials == 0 || probability <= 0) return 0;
  if (probability >= 1) return trials;
  if (probability > 0.5) return trials - Binomial(trials, 1 - probability);
  const double mean = static_cast<double>(trials) * probability;
  const double variance = mean * (1 - probability);
  if (variance > kNormalApproximationMin) {
    const double value = std::round(mean + std::sqrt(variance) * Normal());
    return static_cast<std::uint64_t>(
        std::clamp(value, 0.0, static_cast<double>(trials)));
  }
  // Inversion: sums the probabilities until they exceed a uniform number.
  const double odds = probability / (1 - probability);
  double term =
      std::exp(static_cast<double>(trials) * std::log1p(-probability));
  double remaining = Uniform();
  std::uint64_t count = 0;
  while (remaining > term && count < trials) {
    remaining -= term;
    ++count;
    term *= odds * static_cast<double>(trials - count + 1) /
            static_cast<double>(count);
  }
  return count;
}

}  // namespace camphor
