#ifndef CAMPHORHILL_CORE_ROLLOUT_LOAD_PROFILE_H_
#define CAMPHORHILL_CORE_ROLLOUT_LOAD_PROFILE_H_

#include <map>

namespace camphor {

/// How a rate of the old version depends on the load of its targets.
///
/// While the share shifts, targets of the two versions meet unequal loads, and
/// a loaded target is slower whatever it runs. What the old version did under
/// the same load says by how much. Not thread safe.
class LoadProfile {
 public:
  /// Learns from targets that met `load` requests a second each.
  void Learn(double load, double requests, double hits);

  /// How many times higher the rate is under the load `to` than under `from`;
  /// 1 when `to` is not higher. A load that was never met is taken to be worse
  /// than those below it by some factor.
  double Ratio(double from, double to) const;

 private:
  /// What was seen around one load.
  struct Level {
    double requests = 0;  ///< decayed count
    double hits = 0;      ///< decayed count
  };

  static int LevelOf(double load);
  double RateOf(const Level& level) const;
  double RateNear(int level) const;

  std::map<int, Level> levels_;
  Level all_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_LOAD_PROFILE_H_
