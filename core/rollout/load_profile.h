#ifndef CAMPHORHILL_CORE_ROLLOUT_LOAD_PROFILE_H_
#define CAMPHORHILL_CORE_ROLLOUT_LOAD_PROFILE_H_

#include <map>

namespace camphor {

/// Models how the rate of bad events of the old version depends on the load of
/// its targets.
///
/// While traffic shifts, the targets of the two versions run under different
/// loads, and a more loaded target is slower whatever its version. The
/// comparison of the versions is corrected by the ratio that the old version
/// showed between these loads. Not thread-safe.
class LoadProfile {
 public:
  /// Adds counts of targets that each received `load` requests per second.
  void Update(double load, double requests, double bad_events);

  /// Returns the ratio of the rate under load `to` to the rate under load
  /// `from`, or 1 if `to` is not higher. For loads above the highest observed
  /// one, the rate is extrapolated by a fixed factor per level.
  double Ratio(double from, double to) const;

 private:
  /// Counts observed around one load.
  struct Level {
    double requests = 0;    ///< decayed count
    double bad_events = 0;  ///< decayed count
  };

  static int LevelIndex(double load);
  double Rate(const Level& level) const;
  double NearestRate(int level) const;

  std::map<int, Level> levels_;
  Level all_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_LOAD_PROFILE_H_
