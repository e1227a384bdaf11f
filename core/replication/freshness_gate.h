#ifndef CAMPHORHILL_CORE_REPLICATION_FRESHNESS_GATE_H_
#define CAMPHORHILL_CORE_REPLICATION_FRESHNESS_GATE_H_

#include <algorithm>
#include <atomic>
#include <limits>

#include "core/base/time.h"

namespace camphor {

/// Tells the proxy whether this host's knowledge of the configuration is recent
/// enough to accept the key of a team.
///
/// The decisions thread publishes the time as of which the served configuration
/// is known to be the newest; the proxy thread compares it with the boot clock.
/// Designed for one check per caller request and about one proof per second.
class FreshnessGate {
 public:
  /// Part of the bound that is kept in reserve for the time between the check
  /// of a request and its first effect, and for clocks of different rate.
  static constexpr Milliseconds kMargin{200};

  /// `bound` is the age above which no key may be accepted; 0 accepts keys at
  /// any age.
  explicit FreshnessGate(Milliseconds bound)
      : limit_(bound - std::min(kMargin, bound / 10)) {}

  /// Age above which keys are refused: the bound less the margin. Thread-safe.
  Milliseconds limit() const { return limit_; }

  /// Publishes that the configuration published to the proxy was the newest at
  /// boot time `proven_at`. Earlier times are ignored. Must be called from the
  /// decisions thread, after that configuration was published.
  void Publish(MonoTime proven_at) {
    const MonoTime::rep time = proven_at.time_since_epoch().count();
    if (time > proven_at_.load(std::memory_order_relaxed))
      proven_at_.store(time, std::memory_order_release);
  }

  /// True if keys may be accepted at boot time `now`. Thread-safe. A caller
  /// that looks up a key must load the configuration after this call: a proof
  /// must not be applied to a configuration that it does not cover.
  bool IsCurrent(MonoTime now) const {
    if (limit_.count() == 0) return true;
    const MonoTime::rep time = proven_at_.load(std::memory_order_acquire);
    return time != kNever && now - MonoTime(MonoTime::duration(time)) <= limit_;
  }

 private:
  static constexpr MonoTime::rep kNever =
      std::numeric_limits<MonoTime::rep>::min();

  const Milliseconds limit_;
  std::atomic<MonoTime::rep> proven_at_{kNever};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_FRESHNESS_GATE_H_
