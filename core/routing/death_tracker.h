#ifndef CAMPHORHILL_CORE_ROUTING_DEATH_TRACKER_H_
#define CAMPHORHILL_CORE_ROUTING_DEATH_TRACKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Finds out which request a target died under, without blaming innocents that
/// ran beside it.
///
/// A request that ran alone is blamed for sure. Else a suspect (a fingerprint
/// that another target died under already) is blamed before all others, and no
/// two suspects run on one target at a time. A fingerprint that was answered
/// lately is not blamed for one death among others. Not thread safe.
class DeathTracker {
 public:
  /// May a suspect start on the target now? False while another suspect runs
  /// there.
  bool MayStartSuspect(const TargetId& target, std::uint64_t fingerprint) const;

  /// A request is about to be sent to a target.
  void OnStart(const TargetId& target, std::uint64_t fingerprint, bool suspect);

  /// A request ended. `answered` is true if the target gave a whole answer.
  /// @pre OnStart was called for it.
  void OnEnd(const TargetId& target, std::uint64_t fingerprint, bool answered);

  /// The target died. Returns the fingerprints that are to be blamed; all that
  /// ran on it count as ended, and a later OnEnd for them does nothing.
  std::vector<std::uint64_t> OnDeath(const TargetId& target);

 private:
  struct Running {
    std::uint64_t fingerprint = 0;
    bool suspect = false;
  };

  bool WasAnswered(std::uint64_t fingerprint) const;

  static constexpr std::size_t kRemembered = 4096;

  std::unordered_map<TargetId, std::vector<Running>> running_;
  std::array<std::uint64_t, kRemembered>
      answered_{};  ///< the newest answered fingerprint of each slot
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_DEATH_TRACKER_H_
