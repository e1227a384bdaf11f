#ifndef CAMPHORHILL_HARNESS_PROCESS_H_
#define CAMPHORHILL_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/base/time.h"
#include "harness/process_log.h"

namespace camphor {

/// A process that the harness started. It is killed when this goes.
class Process {
 public:
  struct Options {
    std::string name{};                    ///< for reports
    std::string program{};                 ///< path of the program
    std::vector<std::string> arguments{};  ///< without the program's own name
    std::string log_file{};  ///< its standard error is copied here, if set
  };

  /// Starts the program. Returns null, with the reason set, when it can not be
  /// started. Thread safety: any thread.
  static std::unique_ptr<Process> Start(Options options, std::string& reason);

  /// Kills the process, if it still runs, and waits for its end.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Asks the process to end (SIGTERM). Thread safety: one thread.
  void Terminate();

  /// Ends the process at once (SIGKILL) and waits for its end. Thread safety:
  /// one thread.
  void Kill();

  /// Stops the process where it stands (SIGSTOP). Thread safety: one thread.
  void Freeze();

  /// Lets a frozen process go on (SIGCONT). Thread safety: one thread.
  void Thaw();

  /// Waits for the end. Returns its exit status (128 and the signal's number
  /// when a signal ended it), or nothing when it runs on. Thread safety: one
  /// thread.
  std::optional<int> AwaitExit(Milliseconds timeout);

  /// True until the end was seen. Thread safety: one thread.
  bool running();

  /// Its standard error. Thread safety: any thread.
  const ProcessLog& log() const { return log_; }

  /// Process id. Thread safety: any thread.
  pid_t pid() const { return pid_; }

  /// Name for reports. Thread safety: any thread.
  const std::string& name() const { return options_.name; }

 private:
  Process(Options options, pid_t pid, int error_pipe);

  void Signal(int number);
  void ReadLog(int error_pipe);

  Options options_;
  pid_t pid_;
  std::optional<int> exit_status_;
  ProcessLog log_;
  std::thread reader_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_PROCESS_H_
