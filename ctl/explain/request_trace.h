#ifndef CAMPHORHILL_CTL_EXPLAIN_REQUEST_TRACE_H_
#define CAMPHORHILL_CTL_EXPLAIN_REQUEST_TRACE_H_

#include <string>
#include <string_view>
#include <vector>

#include "ctl/explain/log_line.h"

namespace camphor {

/// Log lines and cause of the outcome of one request, collected from several
/// hosts. Immutable value type.
struct RequestTrace {
  std::vector<LogLine> lines{};    ///< log lines of the request, by time
  std::vector<LogLine> context{};  ///< related state changes that its hosts
                                   ///< logged between 5 s before its first
                                   ///< line and its last line
  std::string cause{};             ///< cause of its outcome
  std::vector<std::string>
      gaps{};  ///< descriptions of log lines that may be missing

  /// Collects the lines of the request from the logs of several hosts. @pre
  /// `log` is sorted by time. Thread-safe.
  static RequestTrace FromLog(const std::vector<LogLine>& log,
                              std::string_view request);

  /// Formats the trace as text, one line for each log line. Thread-safe.
  std::string ToText() const;

  auto operator<=>(const RequestTrace&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_REQUEST_TRACE_H_
