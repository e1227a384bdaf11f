#ifndef CAMPHORHILL_CORE_ROUTING_DEATH_TRACKER_H_
#define CAMPHORHILL_CORE_ROUTING_DEATH_TRACKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Attributes the death of a target to the request that caused it (a "query of
/// death"), without blaming requests that merely ran at the same time.
///
/// Requests are identified by fingerprint. Suspects, which are fingerprints
/// that a target has already died under, are blamed before all others; two
/// different suspects never run on one target at the same time. A fingerprint
/// that was answered recently is not blamed for the first death since that
/// answer: targets also die of other causes, and a frequent request is running
/// whenever they do. Not thread-safe.
class DeathTracker {
 public:
  /// Returns true if a suspect may start on the target now: no other suspect is
  /// running there.
  bool MayStartSuspect(const TargetId& target, std::uint64_t fingerprint) const;

  /// Records that a request is about to be sent to a target.
  void OnStart(const TargetId& target, std::uint64_t fingerprint, bool suspect);

  /// Records the end of a request. `answered` is true if the target ran it and
  /// sent a complete response. @pre OnStart was called for the request.
  void OnEnd(const TargetId& target, std::uint64_t fingerprint, bool answered);

  /// Records the death of a target and returns the fingerprints to blame. All
  /// requests running on the target count as ended; a later OnEnd for them has
  /// no effect.
  std::vector<std::uint64_t> OnDeath(const TargetId& target);

  /// Returns true if a request was answered recently, and no target died under
  /// it since.
  bool WasAnswered(std::uint64_t fingerprint) const;

 private:
  struct Running {
    std::uint64_t fingerprint = 0;
    bool suspect = false;
  };

  std::vector<Running> TakeCandidates(const TargetId& target);

  static constexpr std::size_t kAnsweredSlots = 4096;

  std::unordered_map<TargetId, std::vector<Running>> running_;
  std::array<std::uint64_t, kAnsweredSlots>
      answered_{};  ///< most recently answered fingerprint of each hash slot
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_DEATH_TRACKER_H_
