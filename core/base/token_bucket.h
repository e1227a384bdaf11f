#ifndef CAMPHORHILL_CORE_BASE_TOKEN_BUCKET_H_
#define CAMPHORHILL_CORE_BASE_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "core/base/time.h"

namespace camphor {

/// Token bucket rate limiter. The current time is passed in. Must be used from
/// one thread.
class TokenBucket {
 public:
  struct Options {
    double per_second = 1;  ///< tokens added per second
    double burst = 1;       ///< maximum and initial number of tokens
  };

  /// @pre options.per_second > 0 and options.burst > 0.
  explicit TokenBucket(Options options)
      : options_(options), tokens_(options.burst) {}

  /// Takes the given number of tokens. Returns false and takes none if there
  /// are too few. A request for more than the burst takes the whole burst, so
  /// that it succeeds if the bucket is full.
  bool Take(double tokens, MonoTime now) {
    Refill(now);
    const double needed = std::min(tokens, options_.burst);
    if (tokens_ < needed) return false;
    tokens_ -= needed;
    return true;
  }

  /// Returns the number of tokens.
  double Tokens(MonoTime now) {
    Refill(now);
    return tokens_;
  }

  /// Changes the rate and the burst. Tokens above the new burst are dropped.
  /// @pre options.per_second > 0 and options.burst > 0.
  void SetOptions(Options options, MonoTime now) {
    Refill(now);
    options_ = options;
    tokens_ = std::min(tokens_, options_.burst);
  }

  /// Drops all tokens.
  void Clear(MonoTime now) {
    tokens_ = 0;
    last_refill_ = now;
  }

  /// Returns the time until the given number of tokens is available, as of the
  /// last call of Take.
  Milliseconds TimeUntilAvailable(double tokens) const {
    const double missing = std::min(tokens, options_.burst) - tokens_;
    const double seconds = std::max(0.0, missing / options_.per_second);
    return Milliseconds(static_cast<std::int64_t>(seconds * 1000) + 1);
  }

 private:
  void Refill(MonoTime now) {
    if (now > last_refill_) {
      const std::chrono::duration<double> elapsed = now - last_refill_;
      tokens_ = std::min(options_.burst,
                         tokens_ + elapsed.count() * options_.per_second);
      last_refill_ = now;
    }
  }

  Options options_;
  double tokens_;
  MonoTime last_refill_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_TOKEN_BUCKET_H_
