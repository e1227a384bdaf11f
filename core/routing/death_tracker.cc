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
  if (answered) answered_[fingerprint % kAnsweredSlots] = fingerprint;
  const auto found = running_.find(target);
  if (found == running_.end()) return;
  const auto entry =
      std::ranges::find(found->second, fingerprint, &Running::fingerprint);
  if (entry != found->second.end()) found->second.erase(entry);
}

std::vector<std::uint64_t> DeathTracker::OnDeath(const TargetId& target) {
  const std::vector<Running> candidates = TakeCandidates(target);
  const bool has_suspect = std::ranges::any_of(candidates, &Running::suspect);
  std::vector<std::uint64_t> blamed;
  for (const Running& running : candidates) {
    if (has_suspect && !running.suspect) continue;
    // Repetitions of one request count as one.
    if (std::ranges::find(blamed, running.fingerprint) == blamed.end()) {
      blamed.push_back(running.fingerprint);
    }
  }
  return blamed;
}

std::vector<DeathTracker::Running> DeathTracker::TakeCandidates(
    const TargetId& target) {
  const auto found = running_.find(target);
  if (found == running_.end()) return {};
  std::vector<Running> candidates = std::move(found->second);
  running_.erase(found);
  const auto forgiven = std::stable_partition(
      candidates.begin(), candidates.end(), [this](const Running& running) {
        return !WasAnswered(running.fingerprint);
      });
  // A request that has become fatal since its last answer is blamed from the
  // next death on.
  for (auto running = forgiven; running != candidates.end(); ++running)
    answered_[running->fingerprint % kAnsweredSlots] = 0;
  candidates.erase(forgiven, candidates.end());
  return candidates;
}

bool DeathTracker::WasAnswered(std::uint64_t fingerprint) const {
  return answered_[fingerprint % kAnsweredSlots] == fingerprint;
}

}  // namespace camphor
