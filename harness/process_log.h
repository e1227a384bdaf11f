#ifndef CAMPHORHILL_HARNESS_PROCESS_LOG_H_
#define CAMPHORHILL_HARNESS_PROCESS_LOG_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace camphor {

/// Output lines of a process.
class ProcessLog {
 public:
  /// Appends one line. Thread-safe.
  void Append(std::string line);

  /// Marks the log as complete and ends all waits. Thread-safe.
  void Close();

  /// Waits for the first line that contains the text. Returns nullopt on
  /// timeout or if the log was closed without such a line. Thread-safe.
  std::optional<std::string> Await(std::string_view text,
                                   Milliseconds timeout) const;

  /// Returns the lines so far that contain the text. Thread-safe.
  std::vector<std::string> Matching(std::string_view text) const;

  /// Returns the last lines, for failure reports. Thread-safe.
  std::string Tail(std::size_t lines) const;

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<std::string> lines_;
  bool closed_ = false;
};

/// Returns the value of "key=value" in a log line, without quotes; empty if
/// absent. Thread-safe.
std::string FindLogField(std::string_view line, std::string_view key);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_PROCESS_LOG_H_
