#include "harness/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace camphor {
namespace {

constexpr std::uint64_t kKibibyte = 1024;

}  // namespace

std::optional<ProcessUsage> ProcessUsage::Read(pid_t pid) {
  const std::filesystem::path folder =
      std::filesystem::path("/proc") / std::to_string(pid);
  ProcessUsage usage;
  std::ifstream status(folder / "status");
  std::string key;
  while (status >> key) {
    if (key != "VmHWM:") continue;
    status >> usage.peak_bytes;
    usage.peak_bytes *= kKibibyte;
    break;
  }
  std::error_code error;
  const std::filesystem::directory_iterator entries(folder / "fd", error);
  // A zombie has no memory.
  if (error || usage.peak_bytes == 0) return std::nullopt;
  usage.descriptors =
      static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
  return usage;
}

}  // namespace camphor
