#include "node/metrics/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <string>

namespace camphor {
namespace {

double ToSeconds(const timeval& time) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

}  // namespace

ProcessUsage ProcessUsage::Read() {
  ProcessUsage usage;
  rusage resources{};
  if (getrusage(RUSAGE_SELF, &resources) == 0) {
    usage.cpu_seconds =
        ToSeconds(resources.ru_utime) + ToSeconds(resources.ru_stime);
  }
  std::ifstream status("/proc/self/status");
  std::string key;
  while (status >> key) {
    constexpr std::uint64_t kBytesPerKilobyte = 1024;
    std::uint64_t number = 0;
    if (key == "VmRSS:" && status >> number) {
      usage.resident_bytes = number * kBytesPerKilobyte;
    } else if (key == "Threads:" && status >> number) {
      usage.threads = number;
    }
  }
  return usage;
}

}  // namespace camphor
