#include "core/rollout/load_profile.h"

#include <algorithm>
#include <cmath>

namespace camphor {
namespace {

constexpr double kLevelStep = 1.3;      // a level's load over the next lower
constexpr double kUnknownFactor = 1.3;  // per level that was never met
constexpr double kMostUnknown = 4;      // over the known levels, at most
constexpr double kMostRatio = 12;
constexpr double kHalfLife = 20'000;     // requests after which a level forgets
constexpr double kFewestRequests = 200;  // of a level that counts as met
constexpr double kPriorRequests = 1'000;  // of the rate over all levels
constexpr double kLeastRate = 1e-5;

}  // namespace

int LoadProfile::LevelOf(double load) {
  return static_cast<int>(
      std::lround(std::log(std::max(load, 1e-3)) / std::log(kLevelStep)));
}

void LoadProfile::Learn(double load, double requests, double hits) {
  if (load <= 0 || requests <= 0) return;
  const double keep = std::exp2(-requests / kHalfLife);
  for (Level* level : {&levels_[LevelOf(load)], &all_}) {
    level->requests = level->requests * keep + requests;
    level->hits = level->hits * keep + hits;
  }
}

double LoadProfile::Ratio(double from, double to) const {
  const int low = LevelOf(from);
  const int high = LevelOf(to);
  if (high <= low || levels_.empty()) return 1;
  const double low_rate = RateNear(low);
  double high_rate = low_rate;
  int met = low;
  for (const auto& [number, level] : levels_) {
    if (number <= low || number > high) continue;
    if (level.requests < kFewestRequests) continue;
    high_rate = std::max(high_rate, RateOf(level));
    met = number;
  }
  const double unknown =
      std::min(std::pow(kUnknownFactor, high - met), kMostUnknown);
  return std::clamp(high_rate / low_rate * unknown, 1.0, kMostRatio);
}

double LoadProfile::RateOf(const Level& level) const {
  // A level with few requests is taken to be like all others.
  const double usual =
      std::max(all_.hits, kLeastRate) / std::max(all_.requests, 1.0);
  return (level.hits + usual * kPriorRequests) /
         (level.requests + kPriorRequests);
}

double LoadProfile::RateNear(int low) const {
  // The nearest level at or below the load, or else the lowest one.
  const Level* nearest = nullptr;
  for (const auto& [number, level] : levels_) {
    if (level.requests < kFewestRequests) continue;
    if (nearest == nullptr || number <= low) nearest = &level;
  }
  return RateOf(nearest == nullptr ? Level() : *nearest);
}

}  // namespace camphor
