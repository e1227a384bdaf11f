#ifndef CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_STORY_H_
#define CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_STORY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "harness/fleet.h"
#include "performance_test/demo/demo_load.h"

namespace camphor {

/// Runs a fleet through an ordinary and a bad day, and tells what happens.
class DemoStory {
 public:
  /// @pre `programs` is the folder with the programs.
  explicit DemoStory(std::string programs);

  /// Tells the whole story. Returns true when all went as promised. Thread
  /// safety: one thread.
  bool Tell();

 private:
  /// One thing that was to happen.
  struct Promise {
    std::string sentence;  ///< what was promised
    bool kept = false;     ///< whether it happened
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

  void Chapter(const std::string& title);
  void Check(const std::string& sentence, bool kept);

  /// Runs camphorctl and gives its exit code; its output shows.
  int Ctl(std::vector<std::string> arguments, Milliseconds timeout);

  /// Writes tables with the given row of the pool billing; gives the file.
  std::string WriteTables(const std::string& billing);

  /// Row of the pool billing with a rollout that has the given time.
  static std::string RolloutRow(const std::string& from, const std::string& to,
                                Seconds time);

  /// Starts targets of one version, one on each of the hosts.
  bool StartTargets(const std::string& pool, const std::string& version,
                    const std::vector<std::string>& hosts,
                    const std::string& faults);

  std::string programs_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<DemoLoad> load_;
  std::vector<Promise> promises_;
  MonoTime started_;
  unsigned tables_written_ = 0;  ///< files written so far
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_STORY_H_
