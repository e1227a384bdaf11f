#include "harness/process_log.h"

#include <algorithm>
#include <utility>

namespace camphor {

void ProcessLog::Append(std::string line) {
  {
    const std::lock_guard lock(mutex_);
    lines_.push_back(std::move(line));
  }
  changed_.notify_all();
}

void ProcessLog::Close() {
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }
  changed_.notify_all();
}

std::optional<std::string> ProcessLog::Await(std::string_view text,
                                             Milliseconds timeout) const {
  std::unique_lock lock(mutex_);
  std::size_t next = 0;
  std::optional<std::string> found;
  changed_.wait_for(lock, timeout, [&] {
    for (; next < lines_.size() && !found; ++next) {
      if (lines_[next].find(text) != std::string::npos) found = lines_[next];
    }
    return found || closed_;
  });
  return found;
}

std::vector<std::string> ProcessLog::Matching(std::string_view text) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> matching;
  std::ranges::copy_if(lines_, std::back_inserter(matching),
                       [&](const std::string& line) {
                         return line.find(text) != std::string::npos;
                       });
  return matching;
}

std::string ProcessLog::Tail(std::size_t lines) const {
  const std::lock_guard lock(mutex_);
  std::string tail;
  const std::size_t first = lines_.size() - std::min(lines, lines_.size());
  for (std::size_t index = first; index < lines_.size(); ++index) {
    tail += lines_[index] + "\n";
  }
  return tail;
}

std::string FindLogField(std::string_view line, std::string_view key) {
  const std::string marker = " " + std::string(key) + "=";
  const std::size_t at = line.find(marker);
  if (at == std::string_view::npos) return "";
  std::string_view value = line.substr(at + marker.size());
  if (value.starts_with('"')) {
    value.remove_prefix(1);
    return std::string(value.substr(0, value.find('"')));
  }
  return std::string(value.substr(0, value.find(' ')));
}

}  // namespace camphor
