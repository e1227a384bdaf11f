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

/// Runs a fleet through configuration changes under an optional fault, and
/// measures how long each change takes to reach every host and its cost in
/// traffic, CPU and memory. Must be used from one thread.
class ConvergenceRun {
 public:
  enum class Fault {
    kNone,    ///< no fault
    kHerd,    ///< a third of the hosts is killed and restarted together
    kOutage,  ///< the platform is down except during each edit, while hosts
              ///< are restarted one at a time
    kStorm,   ///< a third of the hosts is killed and restarted before each
              ///< change, while a sixth is frozen until the last change
  };

  struct Options {
    unsigned hosts = 24;          ///< camphord processes
    unsigned domains = 3;         ///< failure domains
    unsigned changes = 10;        ///< edits of the tables
    unsigned services = 20;       ///< pools of the tables, with two routes each
    Fault fault = Fault::kNone;   ///< injected fault
    std::uint64_t seed = 1;       ///< of all random choices
    std::string mode = "full";    ///< full, poll_only or push_only
    Milliseconds interval{1500};  ///< time between two edits
    Seconds idle{10};             ///< idle measurement before the first edit
    Seconds limit{19};            ///< time-out for the last change on all hosts
  };

  explicit ConvergenceRun(Options options);

  /// Runs the measurement and prints the results, with the key=value summary in
  /// the last line. On failure, prints the reason and returns false.
  bool Run();

 private:
  bool Start();
  bool Edit();
  void InjectFault(unsigned change);
  void KillAndRestart(unsigned count, Milliseconds pause);
  void Freeze(unsigned count);
  void Thaw();
  void Pause(Milliseconds time);
  std::string Tables() const;
  std::string PickReadyHost();
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
