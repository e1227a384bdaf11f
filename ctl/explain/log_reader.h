#ifndef CAMPHORHILL_CTL_EXPLAIN_LOG_READER_H_
#define CAMPHORHILL_CTL_EXPLAIN_LOG_READER_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "ctl/explain/log_line.h"

namespace camphor {

/// Reads the lines of a stream; others are passed over. `fallback_host` stands
/// for a host that a line does not name. Thread safety: one thread a stream.
std::vector<LogLine> ReadLog(std::istream& input,
                             const std::string& fallback_host);

/// Reads every file of a folder, each named after its host, one file, or
/// standard input for "-"; sorted by time. Returns nothing, with `reason` set,
/// when there is nothing to read. Thread safety: the main thread.
std::optional<std::vector<LogLine>> ReadLogs(const std::string& place,
                                             std::string& reason);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_LOG_READER_H_
