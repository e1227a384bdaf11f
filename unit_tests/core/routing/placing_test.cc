#include <gtest/gtest.h>

#include "performance_test/placing/uneven_load.h"

namespace camphor {
namespace {

/// Counts of the same load with and without reports, and its bound.
struct Comparison {
  PlacingModel::Counts before{};  ///< own statistics only
  PlacingModel::Counts after{};   ///< with reports
  double bound = 0;
};

Comparison Compare(const PlacingModel::Options& options) {
  Comparison comparison;
  for (const bool reports : {false, true}) {
    PlacingModel::Options chosen = options;
    chosen.reports = reports;
    PlacingModel model(chosen);
    (reports ? comparison.after : comparison.before) = model.Run();
    comparison.bound = model.Bound();
  }
  return comparison;
}

// Guards against callers that get late or refused responses while targets have
// room. The old decision gave fast and slow targets the same share, and hosts
// kept to a full domain.
class PlacingOnUnevenTargets : public testing::TestWithParam<double> {};

TEST_P(PlacingOnUnevenTargets, WithReports_MoreRequestsAreServedInTime) {
  const Comparison comparison = Compare(MakeUnevenLoad(GetParam()));
  EXPECT_GT(comparison.after.InTimeShare(), comparison.before.InTimeShare());
  EXPECT_LT(comparison.after.LateShare(), comparison.before.LateShare());
  EXPECT_LT(comparison.after.RefusedShare(), comparison.before.RefusedShare());
  EXPECT_GT(comparison.after.InTimeShare(), comparison.bound - 0.05);
}

INSTANTIATE_TEST_SUITE_P(Loads, PlacingOnUnevenTargets,
                         testing::Values(kQuietDay, kBusyDay, kHeaviestDay));

}  // namespace
}  // namespace camphor
