#ifndef CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_SCENARIO_H_
#define CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_SCENARIO_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "harness/fleet.h"
#include "performance_test/demo/demo_load.h"

namespace camphor {

/// Runs a fleet through normal operation and failures, and prints and checks
/// what happens.
class DemoScenario {
 public:
  /// @pre `programs` is the folder that contains the binaries.
  explicit DemoScenario(std::string programs);

  /// Runs the demo. Returns true if all expectations were met. Must be called
  /// from one thread.
  bool Run();

 private:
  /// One checked expectation.
  struct Expectation {
    std::string sentence;  ///< what is expected
    bool met = false;      ///< whether it was met
  };

  bool StartFleet();
  void ApplyFirstTables();
  void SendRequests();
  void GoodRollout();
  void BadRollout();
  void RacingOperators();
  void KillAndRestart();
  void PlatformOutage();
  void DrainHost();
  void Summarize();

  void PrintHeading(const std::string& title);
  void Check(const std::string& sentence, bool met);

  /// Runs camphorctl, prints its output and returns its exit code, or -1 if it
  /// did not start or exit in time.
  int Ctl(std::vector<std::string> arguments, Milliseconds timeout);

  /// Writes tables with the given row of the pool billing and returns the path.
  std::string WriteTables(const std::string& billing);

  /// Row of the pool billing with a rollout that completes within `time`.
  static std::string RolloutRow(const std::string& from, const std::string& to,
                                Seconds time);

  /// Starts one target of the version on each of the hosts. Returns false if
  /// one does not start or is not announced in time.
  bool StartTargets(const std::string& pool, const std::string& version,
                    const std::vector<std::string>& hosts,
                    const std::string& faults);

  std::string programs_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<DemoLoad> load_;
  std::vector<Expectation> expectations_;
  MonoTime started_;
  unsigned tables_written_ = 0;  ///< files written so far
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_SCENARIO_H_
