#include "core/routing/death_tracker.h"

#include <algorithm>

namespace camphor {

bool DeathTracker::MayStartSuspect(const TargetId& target,
                                   std::uint64_t fingerprint) const {
  const auto found = running_.find(target);
  if (found == running_.end()) return true;
  return std::ranges::none_of(found->second, [&](const Running& other) {
    return other.suspect && other.fingerprint != fingerprint;
  });
}

void DeathTracker::OnStart(const TargetId& target, std::uint64_t fingerprint,
                           bool suspect) {
  running_[target].push_back({.fingerprint = fingerprint, .suspect = suspect});
}

void DeathTracker::OnEnd(const TargetId& target, std::uint64_t fingerprint,
                         bool answered) {
  if (answered) answered_[fingerprint % kRemembered] = fingerprint;
  const auto found = running_.find(target);
  if (found == running_.end()) return;
  const auto entry =
      std::ranges::find(found->second, fingerprint, &Running::fingerprint);
  if (entry != found->second.end()) found->second.erase(entry);
}

std::vector<std::uint64_t> DeathTracker::OnDeath(const TargetId& target) {
  const auto found = running_.find(target);
  if (found == running_.end()) return {};
  const std::vector<Running> victims = std::move(found->second);
  running_.erase(found);
  if (victims.empty()) return {};

  // Repeats of one request are one fingerprint: then it ran alone.
  const bool alone = std::ranges::all_of(victims, [&](const Running& running) {
    return running.fingerprint == victims.front().fingerprint;
  });
  if (alone) return {victims.front().fingerprint};

  std::vector<std::uint64_t> blamed;
  const bool has_suspect = std::ranges::any_of(victims, &Running::suspect);
  for (const Running& running : victims) {
    if (has_suspect && !running.suspect) continue;
    if (!has_suspect && WasAnswered(running.fingerprint)) {
      // What kills now but did not before is blamed from the next death on.
      answered_[running.fingerprint % kRemembered] = 0;
      continue;
    }
    if (std::ranges::find(blamed, running.fingerprint) == blamed.end()) {
      blamed.push_back(running.fingerprint);
    }
  }
  return blamed;
}

bool DeathTracker::WasAnswered(std::uint64_t fingerprint) const {
  return answered_[fingerprint % kRemembered] == fingerprint;
}

}  // namespace camphor
