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

/// A child process that is killed on destruction, with its captured output.
class Process {
 public:
  struct Options {
    std::string name{};                    ///< name in reports
    std::string program{};                 ///< path of the program
    std::vector<std::string> arguments{};  ///< without the program name
    std::string log_file{};  ///< file for a copy of its output, if set
  };

  /// Starts the program. Returns null and sets `reason` if it cannot be
  /// started. Thread-safe.
  static std::unique_ptr<Process> Start(Options options, std::string& reason);

  /// Kills the process if it still runs and waits until it has exited.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Requests termination (SIGTERM). Must be called from one thread.
  void Terminate();

  /// Kills the process (SIGKILL) and waits until it has exited. Must be called
  /// from one thread.
  void Kill();

  /// Suspends the process (SIGSTOP). Must be called from one thread.
  void Freeze();

  /// Resumes a suspended process (SIGCONT). Must be called from one thread.
  void Thaw();

  /// Waits until the process exits. Returns its exit status (128 plus the
  /// signal number if it was killed by a signal), or nullopt on timeout. Must
  /// be called from one thread.
  std::optional<int> AwaitExit(Milliseconds timeout);

  /// True if the process has not exited. Must be called from one thread.
  bool running();

  /// Captured standard output and standard error. Thread-safe.
  const ProcessLog& log() const { return log_; }

  /// Process id. Thread-safe.
  pid_t pid() const { return pid_; }

  /// Name in reports. Thread-safe.
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
