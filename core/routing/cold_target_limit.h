#ifndef CAMPHORHILL_CORE_ROUTING_COLD_TARGET_LIMIT_H_
#define CAMPHORHILL_CORE_ROUTING_COLD_TARGET_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/base/time.h"
#include "core/base/token_bucket.h"

namespace camphor {

/// Limits the requests to a cold target to the rate that its pool tolerates.
///
/// A token bucket that is empty when the target turns cold. In any window of
/// one second it admits at most the rate and 8 requests. A target may receive
/// 1.5 times the rate and 8, so requests that were admitted up to half a second
/// before a window may arrive within it.
///
/// When the rate is used up, requests are refused at once, by priority: a
/// request leaves one token for each more urgent priority that asked within the
/// last second. Intended for rates of 1 to 1,000 requests a second and some
/// thousand attempts a second. Not thread-safe; the current time is passed in.
class ColdTargetLimit {
 public:
  /// Sets the rate, in requests per second; std::nullopt: the target is not
  /// cold. @pre the rate is positive.
  void Set(std::optional<double> per_second, MonoTime now);

  /// Returns true if TryAcquire would admit a request of this priority now. 0
  /// is the highest priority.
  bool HasRoom(std::uint32_t priority, MonoTime now);

  /// Counts a request if the limit admits one of this priority now; otherwise
  /// returns false and counts nothing.
  bool TryAcquire(std::uint32_t priority, MonoTime now);

  /// The rate; std::nullopt if the target is not cold.
  const std::optional<double>& per_second() const { return per_second_; }

  /// Time of the last change from warm to cold.
  MonoTime cold_since() const { return cold_since_; }

 private:
  std::size_t MoreUrgent(std::uint32_t priority, MonoTime now);

  std::optional<double> per_second_;
  std::optional<TokenBucket> bucket_;  ///< set while the target is cold
  MonoTime cold_since_{};
  std::map<std::uint32_t, MonoTime> last_asked_;  ///< by priority
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_COLD_TARGET_LIMIT_H_
