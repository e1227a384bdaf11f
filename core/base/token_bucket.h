#ifndef CAMPHORHILL_CORE_BASE_TOKEN_BUCKET_H_
#define CAMPHORHILL_CORE_BASE_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "core/base/time.h"

namespace camphor {

/// Admits work at a bounded rate with a bounded burst. Time is passed in.
class TokenBucket {
 public:
  struct Options {
    double per_second = 1;  ///< tokens that come back each second
    double burst = 1;       ///< tokens held at most, and at the start
  };

  /// @pre options.per_second > 0 and options.burst > 0.
  explicit TokenBucket(Options options)
      : options_(options), tokens_(options.burst) {}

  /// Takes the tokens if there are so many. A request above the burst is
  /// admitted when the bucket is full. Thread safety: one thread.
  bool Take(double tokens, MonoTime now) {
    Refill(now);
    const double needed = std::min(tokens, options_.burst);
    if (tokens_ < needed) return false;
    tokens_ -= needed;
    return true;
  }

  /// Time until so many tokens are there. Thread safety: one thread.
  Milliseconds TimeUntilAvailable(double tokens) const {
    const double missing = std::min(tokens, options_.burst) - tokens_;
    const double seconds = std::max(0.0, missing / options_.per_second);
    return Milliseconds(static_cast<std::int64_t>(seconds * 1000) + 1);
  }

 private:
  void Refill(MonoTime now) {
    if (now > refilled_) {
      const std::chrono::duration<double> passed = now - refilled_;
      tokens_ = std::min(options_.burst,
                         tokens_ + passed.count() * options_.per_second);
      refilled_ = now;
    }
  }

  Options options_;
  double tokens_;
  MonoTime refilled_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_TOKEN_BUCKET_H_
