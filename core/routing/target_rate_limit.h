#ifndef CAMPHORHILL_CORE_ROUTING_TARGET_RATE_LIMIT_H_
#define CAMPHORHILL_CORE_ROUTING_TARGET_RATE_LIMIT_H_

#include <optional>

#include "core/base/time.h"
#include "core/base/token_bucket.h"

namespace camphor {

/// Limits the requests to a target to the rate that the target itself names,
/// for as long as it names one. Not thread-safe; the current time is passed in.
class TargetRateLimit {
 public:
  /// Takes over the limit of the target's newest response, in requests per
  /// second; std::nullopt: it names none. @pre the limit is not negative.
  void Set(std::optional<double> per_second, MonoTime now);

  /// Returns true if TryAcquire would admit a request now.
  bool HasRoom(MonoTime now);

  /// Counts a request if the limit admits one now; otherwise returns false and
  /// counts nothing.
  bool TryAcquire(MonoTime now);

  const std::optional<double>& per_second() const { return per_second_; }

 private:
  std::optional<double> per_second_;
  std::optional<TokenBucket> bucket_;  ///< set while there is a limit
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_TARGET_RATE_LIMIT_H_
