#include "performance_test/placing/uneven_load.h"

#include <vector>

namespace camphor {

PlacingModel::Options MakeUnevenLoad(double load) {
  constexpr int kTargets = 30;
  std::vector<double> speeds;
  speeds.reserve(kTargets);
  for (int target = 0; target < kTargets; ++target)
    speeds.push_back(0.5 + target * 7 % kTargets / (kTargets - 1.0));
  return {.speeds = speeds,
          .kinds = {{.work = Milliseconds(100), .share = 0.8},
                    {.work = Milliseconds(300), .share = 0.2}},
          .load = load,
          .wave = 0.6,
          .duration = Seconds(25)};
}

}  // namespace camphor
