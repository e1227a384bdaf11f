#ifndef CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_RUN_H_
#define CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_RUN_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "performance_test/convergence/convergence_report.h"
#include "performance_test/convergence/fleet_usage.h"

namespace camphor {

/// Runs a fleet through changes of configuration and a fault, and measures how
/// soon every host serves each change and what that costs.
class ConvergenceRun {
 public:
  enum class Fault {
    kNone,    ///< nothing fails
    kHerd,    ///< a third of the hosts is killed at once and comes back at once
    kOutage,  ///< the platform is out but for the moment of each edit, while
              ///< hosts are restarted one at a time
    kStorm,   ///< before each change a third of the hosts dies and comes back
              ///< at once, while a sixth is frozen until the last change
  };

  struct Options {
    unsigned hosts = 24;          ///< camphord processes
    unsigned domains = 3;         ///< failure domains
    unsigned changes = 10;        ///< edits of the tables
    unsigned services = 20;       ///< pools of the tables, with two routes each
    Fault fault = Fault::kNone;   ///< what fails
    std::uint64_t seed = 1;       ///< of every choice
    std::string mode = "full";    ///< full, poll_only or push_only
    Milliseconds interval{1500};  ///< between two edits
    Seconds idle{10};             ///< measured before the first edit
    Seconds limit{19};            ///< for the last change to be everywhere
  };

  explicit ConvergenceRun(Options options);

  /// Runs it whole and prints the result, with the figures in the last line.
  /// Returns false, with the reason printed, when it could not be run.
  bool Run();

 private:
  bool Start();
  bool Edit();
  void Disturb(unsigned change);
  void KillAndRestart(unsigned count, Milliseconds pause);
  void Freeze(unsigned count);
  void Thaw();
  void Pause(Milliseconds time);
  std::string Tables() const;
  std::string AnyRunningHost();
  void Print(const FleetUsage& begin, const FleetUsage& idle_end,
             const FleetUsage& end);
  static EventTime Now();

  Options options_;
  std::mt19937_64 random_;
  Fleet fleet_;
  std::vector<std::string> hosts_;
  History history_;
  RestartTimes restarts_;
  std::set<std::string> frozen_;
  std::uint64_t version_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_RUN_H_
