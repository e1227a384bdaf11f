#include "ctl/explain/log_reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <system_error>
#include <utility>

namespace camphor {
namespace {

namespace fs = std::filesystem;

/// Regular files of a folder, or the file itself, sorted by name.
std::vector<fs::path> ListFiles(const fs::path& path) {
  std::vector<fs::path> files;
  std::error_code error;
  if (!fs::is_directory(path, error)) {
    if (fs::exists(path, error)) files.push_back(path);
    return files;
  }
  for (const fs::directory_entry& entry : fs::directory_iterator(path, error)) {
    if (entry.is_regular_file(error)) files.push_back(entry.path());
  }
  std::ranges::sort(files);
  return files;
}

}  // namespace

std::vector<LogLine> ReadLog(std::istream& input,
                             const std::string& fallback_host) {
  std::vector<LogLine> lines;
  for (std::string text; std::getline(input, text);) {
    std::optional<LogLine> line = LogLine::Parse(text);
    if (!line) continue;
    if (line->host.empty()) line->host = fallback_host;
    lines.push_back(std::move(*line));
  }
  return lines;
}

std::optional<std::vector<LogLine>> ReadLogs(const std::string& path,
                                             std::string& reason) {
  std::vector<LogLine> lines;
  if (path == "-") {
    lines = ReadLog(std::cin, "");
  } else {
    for (const fs::path& file : ListFiles(path)) {
      std::ifstream input(file);
      if (!input) {
        reason = "cannot read " + file.string();
        return std::nullopt;
      }
      std::ranges::move(ReadLog(input, file.stem().string()),
                        std::back_inserter(lines));
    }
  }
  if (lines.empty()) {
    reason = "no camphord log lines in " + path;
    return std::nullopt;
  }
  std::ranges::stable_sort(lines, {}, &LogLine::t_ms);
  return lines;
}

}  // namespace camphor
