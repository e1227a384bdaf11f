#ifndef CAMPHORHILL_HARNESS_SOAK_SOAK_RUN_H_
#define CAMPHORHILL_HARNESS_SOAK_SOAK_RUN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "harness/fleet.h"
#include "harness/fuzz/random_choice.h"
#include "harness/load/request_load.h"
#include "harness/process_usage.h"

namespace camphor {

/// Runs three hosts and four targets for a given time, with ordinary callers
/// and callers that do not behave (docs/design/untrusted_callers.md), while
/// targets restart and tables change. Afterwards every process must be alive,
/// the memory and the descriptors of each host within their bounds, an ordinary
/// request answered on each host, and the history of the run sound.
///
/// Must be used from one thread.
class SoakRun {
 public:
  struct Options {
    Seconds time{15};        ///< duration of the load
    std::uint64_t seed = 1;  ///< of all choices; timing is not reproducible
    bool keep_logs = false;  ///< keep logs and settings of the processes
  };

  explicit SoakRun(Options options);
  ~SoakRun();

  /// Returns false and sets last_reason() if a process does not start or a
  /// check fails.
  bool Run();

  /// What was wrong.
  const std::string& last_reason() const { return last_reason_; }

  /// What was done and measured, one line for each host. Valid after Run().
  const std::string& summary() const { return summary_; }

  /// Folder with logs and settings.
  std::string folder() const { return fleet_->folder().string(); }

 private:
  struct Crowds;

  bool Start();
  bool StartTarget(std::size_t place);
  bool DisturbOnce(RandomChoice& choice);
  bool CheckProcesses();
  bool CheckHistory(const Crowds& crowds);
  bool IsOrdinaryRequestAnswered(const std::string& host);
  void SampleDescriptors();
  bool Fail(std::string reason);

  Options options_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<std::string> targets_;              // ids by place
  std::map<std::string, ProcessUsage> before_;    // by host
  std::map<std::string, std::size_t> most_open_;  // descriptors by host
  std::vector<std::unique_ptr<RequestLoad>> loads_;
  unsigned restarts_ = 0;
  unsigned edits_ = 0;
  unsigned refused_edits_ = 0;
  std::string summary_;
  std::string last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SOAK_SOAK_RUN_H_
