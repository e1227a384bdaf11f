#include "harness/cpu_limit.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>
#include <optional>

namespace camphor {
namespace {

/// Time between two looks at what the process has used.
constexpr Milliseconds kPoll{1};

/// Returns the processor time of a process; std::nullopt if it is gone.
std::optional<std::chrono::nanoseconds> ProcessorTime(pid_t process) {
  clockid_t clock{};
  timespec used{};
  if (clock_getcpuclockid(process, &clock) != 0 ||
      clock_gettime(clock, &used) != 0) {
    return std::nullopt;
  }
  return Seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

}  // namespace

CpuLimit::CpuLimit(Options options)
    : options_(options), thread_([this] { Run(); }) {}

CpuLimit::~CpuLimit() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_one();
  thread_.join();
}

void CpuLimit::Run() {
  const auto share = std::chrono::duration_cast<std::chrono::nanoseconds>(
      options_.period * options_.processors);
  auto allowed = ProcessorTime(options_.process);
  MonoTime period_end = std::chrono::steady_clock::now();
  bool suspended = false;
  while (!AwaitStop(kPoll)) {
    const auto used = ProcessorTime(options_.process);
    if (!used || !allowed) return;
    const MonoTime now = std::chrono::steady_clock::now();
    while (now >= period_end) {
      // What was used beyond the share of a period counts for the next one.
      allowed = std::min(*allowed, *used) + share;
      period_end += options_.period;
    }
    const bool suspend = *used >= *allowed;
    if (suspend == suspended) continue;
    kill(options_.process, suspend ? SIGSTOP : SIGCONT);
    suspended = suspend;
  }
  if (suspended) kill(options_.process, SIGCONT);
}

bool CpuLimit::AwaitStop(Milliseconds time) {
  std::unique_lock lock(mutex_);
  return stopped_.wait_for(lock, time, [this] { return stopping_; });
}

}  // namespace camphor
