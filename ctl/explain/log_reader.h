#ifndef CAMPHORHILL_CTL_EXPLAIN_LOG_READER_H_
#define CAMPHORHILL_CTL_EXPLAIN_LOG_READER_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "ctl/explain/log_line.h"

namespace camphor {

/// Parses the camphord log lines of a stream and skips all other lines.
/// `fallback_host` is used for lines without a host field. Must be called from
/// one thread per stream.
std::vector<LogLine> ReadLog(std::istream& input,
                             const std::string& fallback_host);

/// Reads a log file, all log files of a folder, or standard input for "-", and
/// returns the lines sorted by time. A file's name without extension is the
/// fallback host of its lines. Returns nullopt and sets `reason` if a file
/// cannot be read or no log line is found. Must be called from the main thread.
std::optional<std::vector<LogLine>> ReadLogs(const std::string& path,
                                             std::string& reason);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_LOG_READER_H_
