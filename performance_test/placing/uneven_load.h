#ifndef CAMPHORHILL_PERFORMANCE_TEST_PLACING_UNEVEN_LOAD_H_
#define CAMPHORHILL_PERFORMANCE_TEST_PLACING_UNEVEN_LOAD_H_

#include "performance_test/placing/placing_model.h"

namespace camphor {

/// Mean demand of a day as a share of the capacity of all targets.
inline constexpr double kQuietDay = 0.6;
inline constexpr double kBusyDay = 0.8;
inline constexpr double kHeaviestDay = 1.1;

/// Returns the load that the placing of requests is designed for: 30 targets in
/// three failure domains whose speeds differ by a factor of three, two kinds of
/// requests of 140 ms on average, and domains that peak one after the other.
/// Thread-safe.
PlacingModel::Options MakeUnevenLoad(double load);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_PLACING_UNEVEN_LOAD_H_
