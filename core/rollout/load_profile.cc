#include "core/rollout/load_profile.h"

#include <algorithm>
#include <cmath>

namespace camphor {
namespace {

constexpr double kLevelStep = 1.3;            // load ratio of adjacent levels
constexpr double kExtrapolationFactor = 1.3;  // per level without observations
constexpr double kMaxExtrapolation = 4;       // of the rate, as a factor
constexpr double kMaxRatio = 12;
constexpr double kHalfLife = 20'000;      // of a level, in requests
constexpr double kMinRequests = 200;      // for a level to be used
constexpr double kPriorRequests = 1'000;  // weight of the overall rate
constexpr double kMinRate = 1e-5;

}  // namespace

int LoadProfile::LevelIndex(double load) {
  return static_cast<int>(
      std::lround(std::log(std::max(load, 1e-3)) / std::log(kLevelStep)));
}

void LoadProfile::Update(double load, double requests, double bad_events) {
  if (load <= 0 || requests <= 0) return;
  const double keep = std::exp2(-requests / kHalfLife);
  for (Level* level : {&levels_[LevelIndex(load)], &all_}) {
    level->requests = level->requests * keep + requests;
    level->bad_events = level->bad_events * keep + bad_events;
  }
}

double LoadProfile::Ratio(double from, double to) const {
  const int low = LevelIndex(from);
  const int high = LevelIndex(to);
  if (high <= low || levels_.empty()) return 1;
  const double low_rate = NearestRate(low);
  double high_rate = low_rate;
  int observed = low;
  for (const auto& [number, level] : levels_) {
    if (number <= low || number > high) continue;
    if (level.requests < kMinRequests) continue;
    high_rate = std::max(high_rate, Rate(level));
    observed = number;
  }
  const double extrapolation = std::min(
      std::pow(kExtrapolationFactor, high - observed), kMaxExtrapolation);
  return std::clamp(high_rate / low_rate * extrapolation, 1.0, kMaxRatio);
}

double LoadProfile::Rate(const Level& level) const {
  // Shrink the rate of levels with few requests towards the overall rate.
  const double overall =
      std::max(all_.bad_events, kMinRate) / std::max(all_.requests, 1.0);
  return (level.bad_events + overall * kPriorRequests) /
         (level.requests + kPriorRequests);
}

double LoadProfile::NearestRate(int low) const {
  // Use the nearest level at or below the load, or else the lowest one.
  const Level* nearest = nullptr;
  for (const auto& [number, level] : levels_) {
    if (level.requests < kMinRequests) continue;
    if (nearest == nullptr || number <= low) nearest = &level;
  }
  return Rate(nearest == nullptr ? Level() : *nearest);
}

}  // namespace camphor
