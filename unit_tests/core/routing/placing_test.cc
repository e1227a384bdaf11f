#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/routing/finish_model.h"
#include "core/routing/load_report.h"
#include "performance_test/placing/uneven_load.h"

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

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

// Guards against a decision that is worse than the earlier one where all
// targets have the same speed.
TEST(PlacingOnEvenTargets, WithReports_AsManyRequestsAreServedInTime) {
  PlacingModel::Options options = MakeUnevenLoad(kBusyDay);
  options.speeds.assign(options.speeds.size(), 1);
  const Comparison comparison = Compare(options);
  EXPECT_GT(comparison.after.InTimeShare(),
            comparison.before.InTimeShare() - 0.002);
  EXPECT_LT(comparison.after.CrossedShare(),
            comparison.before.CrossedShare() + 0.02);
}

/// Load of three domains in which something happens 10 s after the start.
class PlacingAfterChange : public testing::Test {
 protected:
  static constexpr Milliseconds kChange{10'000};
  static constexpr std::size_t kSettled = 13;  ///< seconds after the start
  static constexpr std::size_t kEnd = 20;

  static PlacingModel::Options MakeOptions(bool reports) {
    PlacingModel::Options options = MakeUnevenLoad(kQuietDay);
    options.duration = Seconds(kEnd);
    options.reports = reports;
    return options;
  }

  /// Returns the index of the target whose speed is closest to `speed`.
  static std::uint32_t FindTarget(PlacingModel& model, double speed) {
    const auto nearest = std::ranges::min_element(
        model.targets(), {}, [speed](const PlacingModel::Target& target) {
          return std::abs(target.speed - speed);
        });
    return static_cast<std::uint32_t>(nearest - model.targets().begin());
  }

  /// Runs the model and returns the arrivals of a target from kSettled on,
  /// relative to the mean of all targets.
  static double SettledArrivals(PlacingModel& model, std::uint32_t target) {
    std::vector<std::uint64_t> before;
    model.At(Seconds(kSettled), [&] {
      for (const PlacingModel::Target& each : model.targets())
        before.push_back(each.arrivals);
    });
    model.Run();
    double sum = 0;
    for (std::size_t index = 0; index < before.size(); ++index)
      sum +=
          static_cast<double>(model.targets()[index].arrivals - before[index]);
    return static_cast<double>(model.targets()[target].arrivals -
                               before[target]) *
           static_cast<double>(before.size()) / sum;
  }
};

// Guards against a load that stays on a target that was fast, when it becomes
// slow.
TEST_F(PlacingAfterChange, FastTargetTurnsSlow_GetsFewRequestsWithinSeconds) {
  double before = 0;
  double after = 0;
  for (const bool reports : {false, true}) {
    PlacingModel model(MakeOptions(reports));
    const std::uint32_t target = FindTarget(model, 1.5);
    model.At(kChange, [&] { model.targets()[target].speed = 0.3; });
    (reports ? after : before) = SettledArrivals(model, target);
  }
  EXPECT_LT(after, 0.5);
  EXPECT_LT(after, before);
}

// Guards against a target that attracts the load because it fails quickly: its
// slots are free and its requests are short.
TEST_F(PlacingAfterChange, TargetFailsFast_AttractsNoLoad) {
  PlacingModel model(MakeOptions(true));
  const std::uint32_t target = FindTarget(model, 1.0);
  model.At(kChange, [&] { model.targets()[target].fails_fast = true; });
  EXPECT_LT(SettledArrivals(model, target), 0.3);
  EXPECT_LT(model.InSeconds(kSettled, kEnd).FailedShare(), 0.01);
}

// Guards against hosts that stay in their own domain, or that all move to the
// same targets, when it loses half of its targets at the height of its wave.
TEST_F(PlacingAfterChange, HalfOfDomainIsGone_OthersTakeOver) {
  std::vector<PlacingModel::Counts> results;
  for (const bool reports : {false, true}) {
    PlacingModel::Options options = MakeOptions(reports);
    options.wave_period = Seconds(40);  // domain 0 peaks at the change
    PlacingModel model(options);
    model.At(kChange, [&] {
      for (std::uint32_t target = 0; target < 15; target += 3)
        model.Remove(target);
    });
    model.Run();
    results.push_back(model.InSeconds(10, kEnd));
  }
  EXPECT_GT(results[1].InTimeShare(), results[0].InTimeShare());
  EXPECT_LT(results[1].RefusedShare(), results[0].RefusedShare());
  EXPECT_GT(results[1].InTimeShare(), 0.96);
}

// Guards against speeds that outlive the run of the target that they were
// measured on.
TEST_F(PlacingAfterChange, SpeedsSwapAtRestart_ArrivalsFollowTheNewSpeeds) {
  double was_fast = 0;
  double was_slow = 0;
  for (const bool fast : {true, false}) {
    PlacingModel model(MakeOptions(true));
    const std::uint32_t first = FindTarget(model, 1.5);
    const std::uint32_t second = FindTarget(model, 0.5);
    model.At(kChange, [&] {
      std::swap(model.targets()[first].speed, model.targets()[second].speed);
      model.Restart(first);
      model.Restart(second);
    });
    (fast ? was_fast : was_slow) =
        SettledArrivals(model, fast ? first : second);
  }
  EXPECT_LT(was_fast, 0.7);
  EXPECT_GT(was_slow, 1.0);
}

// Guards against decisions on speeds that nobody has confirmed for a minute,
// during which they were reversed.
TEST_F(PlacingAfterChange, SpeedsAreStaleAfterSilence_ServesAsBefore) {
  std::vector<PlacingModel::Counts> results;
  for (const bool reports : {false, true}) {
    PlacingModel::Options options = MakeOptions(reports);
    options.duration = Seconds(80);
    PlacingModel model(options);
    model.At(kChange, [&] { model.SetDemand(0); });
    model.At(kChange + Seconds(60), [&] {
      for (PlacingModel::Target& target : model.targets())
        target.speed = 2 - target.speed;
      model.SetDemand(1);
    });
    model.Run();
    results.push_back(model.InSeconds(70, 80));
  }
  EXPECT_GT(results[1].requests, 1000U);
  EXPECT_GT(results[1].InTimeShare(), results[0].InTimeShare() - 0.005);
}

TEST(FinishModelRecord, NoReportForLongerThanMaxAge_SpeedIsUnknown) {
  FinishModel model;
  TargetStats fast;
  TargetStats slow;
  const RouteName route("r");
  const LoadReport report{.service = Milliseconds(100),
                          .class_service = Milliseconds(100)};
  LoadReport slow_report = report;
  slow_report.class_service = Milliseconds(300);
  model.Record(route, fast, report, kStart);
  model.Record(route, slow, slow_report, kStart);
  EXPECT_GT(FinishModel::RelativeService(slow, kStart), 2);
  EXPECT_TRUE(model.HasReports(kStart));
  const MonoTime later = kStart + FinishModel::kMaxSpeedAge + Milliseconds(1);
  EXPECT_EQ(FinishModel::RelativeService(slow, later), 1);
  EXPECT_FALSE(model.HasReports(later));
}

// Guards against an error response that counts as a fast service time.
TEST(ConcurrencyLimiterReport, FailedRequests_ShowSlownessButNotSpeed) {
  ConcurrencyLimiter limiter({.slots = 1, .queue = 1});
  const auto run = [&limiter](Milliseconds took, bool failed) {
    limiter.Acquire(1, Urgency::FromDeadline(kStart + Seconds(9)), kStart);
    limiter.Release(
        ConcurrencyLimiter::ServiceSample{.took = took, .failed = failed},
        kStart);
    return limiter.Report(0);
  };
  EXPECT_FALSE(run(Milliseconds(1), true));
  ASSERT_TRUE(run(Milliseconds(100), false));
  EXPECT_EQ(run(Milliseconds(1), true)->service, Milliseconds(100));
  EXPECT_GT(run(Milliseconds(900), true)->service, Milliseconds(100));
}

TEST(LoadReportParse, FormattedReport_ReturnsSameReport) {
  const LoadReport report{.running = 11,
                          .waiting = 3,
                          .service = Microseconds(140'000),
                          .class_service = Microseconds(0)};
  EXPECT_EQ(LoadReport::Parse(report.ToString()), report);
}

TEST(LoadReportParse, InvalidText_ReturnsNullopt) {
  for (const std::string text :
       {"", "1 2 3", "1 2 3 4 5", "1 2 0 4", "-1 2 3 4", "1  2 3 4", "1 2 3 4 ",
        "1 2 3 99999999999", "99999999 2 3 4", "1 2 3 999999999999999999999"})
    EXPECT_FALSE(LoadReport::Parse(text)) << text;
}

}  // namespace
}  // namespace camphor
