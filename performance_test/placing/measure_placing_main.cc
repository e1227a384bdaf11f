// Prints the table of the placing model; see scripts/measure_placing.

#include <fmt/format.h>

#include "performance_test/placing/uneven_load.h"

namespace camphor {
namespace {

void PrintRow(double load, double noise, bool reports) {
  PlacingModel::Options options = MakeUnevenLoad(load);
  options.noise = noise;
  options.reports = reports;
  PlacingModel model(options);
  const PlacingModel::Counts counts = model.Run();
  fmt::print(
      "{:>5.2f} {:>6.2f} {:<9} {:>9} {:>8.2f} {:>6.2f} {:>8.2f} {:>7.2f} "
      "{:>7.2f} {:>8.2f} {:>9.3f} {:>8.2f}\n",
      load, noise, reports ? "reports" : "own", counts.requests,
      100 * counts.InTimeShare(), 100 * counts.LateShare(),
      100 * counts.RefusedShare(), 100 * counts.FailedShare(),
      100 * model.Bound(), 100 * counts.CrossedShare(),
      static_cast<double>(counts.attempts) /
          static_cast<double>(counts.requests),
      model.BusiestShare());
}

}  // namespace
}  // namespace camphor

int main() {
  fmt::print(
      "Shares in percent; attempts per request; arrivals of the busiest target "
      "relative to the mean\n"
      "{:>5} {:>6} {:<9} {:>9} {:>8} {:>6} {:>8} {:>7} {:>7} {:>8} {:>9} "
      "{:>8}\n",
      "load", "noise", "decision", "requests", "in time", "late", "refused",
      "failed", "bound", "crossed", "attempts", "busiest");
  for (const double noise : {0.4, 0.8}) {
    for (const double load :
         {camphor::kQuietDay, camphor::kBusyDay, camphor::kHeaviestDay}) {
      for (const bool reports : {false, true})
        camphor::PrintRow(load, noise, reports);
    }
  }
  return 0;
}
