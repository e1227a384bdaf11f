#ifndef CAMPHORHILL_CORE_BASE_BACKOFF_H_
#define CAMPHORHILL_CORE_BASE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "core/base/time.h"

namespace camphor {

/// Exponential backoff with jitter: each delay is drawn at random between half
/// the current bound and the bound, so that many clients do not retry at the
/// same time (thundering herd). Must be used from one thread.
class Backoff {
 public:
  struct Options {
    Milliseconds initial_delay{100};  ///< bound of the first delay
    Milliseconds max_delay{5000};     ///< maximum of the bound
    double factor = 2.0;              ///< growth of the bound per attempt
  };

  /// @pre 0 < options.initial_delay <= options.max_delay, options.factor >= 1.
  explicit Backoff(Options options) : options_(options) {}

  /// Returns the delay before the next attempt.
  template <typename Random>
  Milliseconds Next(Random& random) {
    const Milliseconds bound =
        bound_.count() == 0 ? options_.initial_delay : bound_;
    const auto grown = Milliseconds(static_cast<std::int64_t>(
        static_cast<double>(bound.count()) * options_.factor));
    bound_ = std::min(options_.max_delay, grown);
    std::uniform_int_distribution<std::int64_t> draw(bound.count() / 2,
                                                     bound.count());
    return Milliseconds(draw(random));
  }

  /// Restarts with the initial delay.
  void Reset() { bound_ = Milliseconds(0); }

 private:
  Options options_;
  Milliseconds bound_{0};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_BACKOFF_H_
