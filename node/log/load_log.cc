#include "node/log/load_log.h"

#include <cassert>
#include <chrono>
#include <string>

namespace camphor {
namespace {

/// Fewer connections that their peers closed say nothing.
constexpr std::uint64_t kMinAbandoned = 3;

/// Returns true if most of the connections accepted between two measurements
/// had been closed by their peers already.
bool AreMostAbandoned(const ListenerLoad& before, const ListenerLoad& now) {
  const std::uint64_t abandoned = now.abandoned - before.abandoned;
  return abandoned >= kMinAbandoned &&
         2 * abandoned > now.accepted - before.accepted;
}

std::string QueueLength(const ListenerLoad& load) {
  return load.queued ? std::to_string(*load.queued) : "unknown";
}

template <typename Duration>
std::uint64_t InMilliseconds(Duration time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(time).count());
}

}  // namespace

LoadLog::LoadLog(Options options) : options_(options), budget_(options.budget) {
  assert(options_.log != nullptr);
}

void LoadLog::Write(const LoopLoad& load, const Decisions& decisions,
                    MonoTime now) {
  const bool behind = IsBehind(load, decisions);
  last_ = load;
  if (!behind) return;
  if (!budget_.Take(1, now)) {
    ++suppressed_;
    return;
  }
  options_.log->Log(
      LogLevel::kWarning, "node", "host is behind",
      {{"proxy_lag_ms", InMilliseconds(load.lag)},
       {"process_cpu_ms", InMilliseconds(load.process_cpu)},
       {"proxy_cpu_ms", InMilliseconds(load.thread_cpu)},
       {"limiter_wait_us",
        static_cast<std::uint64_t>(decisions.limiter_wait.count())},
       {"tick_age_ms", InMilliseconds(decisions.tick_age)},
       {"decisions_cpu_ms", InMilliseconds(decisions.thread_cpu)},
       {"proxy_tasks", std::uint64_t{decisions.proxy_tasks}},
       {"mesh_tasks", std::uint64_t{decisions.mesh_tasks}},
       {"callers_queued", QueueLength(load.callers)},
       {"callers_accepted", load.callers.accepted},
       {"callers_abandoned", load.callers.abandoned},
       {"callers_wait_ms", InMilliseconds(load.callers.longest_wait)},
       {"hosts_queued", QueueLength(load.hosts)},
       {"hosts_accepted", load.hosts.accepted},
       {"hosts_abandoned", load.hosts.abandoned},
       {"hosts_wait_ms", InMilliseconds(load.hosts.longest_wait)},
       {"left_out", suppressed_}});
}

bool LoadLog::IsBehind(const LoopLoad& load, const Decisions& decisions) const {
  return load.lag >= options_.behind_after ||
         load.callers.longest_wait >= options_.behind_after ||
         load.hosts.longest_wait >= options_.behind_after ||
         AreMostAbandoned(last_.callers, load.callers) ||
         AreMostAbandoned(last_.hosts, load.hosts) ||
         decisions.tick_age >= options_.behind_after;
}

}  // namespace camphor
