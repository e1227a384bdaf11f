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

/// Lines that a process wrote to its standard error.
class ProcessLog {
 public:
  /// Appends one line. Thread safety: any thread.
  void Append(std::string line);

  /// Says that no line will follow. Thread safety: any thread.
  void Close();

  /// Waits for the first line that holds the text. Returns nothing when none
  /// came in time or none can come any more. Thread safety: any thread.
  std::optional<std::string> Await(std::string_view text,
                                   Milliseconds timeout) const;

  /// Lines so far that hold the text. Thread safety: any thread.
  std::vector<std::string> Matching(std::string_view text) const;

  /// The last lines, for a failure report. Thread safety: any thread.
  std::string Tail(std::size_t lines) const;

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<std::string> lines_;
  bool closed_ = false;
};

/// The value of "key=value" in a log line, without quotes; empty when it is not
/// there. Thread safety: any thread.
std::string LogField(std::string_view line, std::string_view key);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_PROCESS_LOG_H_
