#ifndef CAMPHORHILL_CORE_BASE_BACKOFF_H_
#define CAMPHORHILL_CORE_BASE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "core/base/time.h"

namespace camphor {

/// Delays between attempts that grow exponentially, each drawn at random from
/// half the bound to the bound, so that a herd does not return as one.
class Backoff {
 public:
  struct Options {
    Milliseconds initial_delay{100};  ///< bound of the first delay
    Milliseconds max_delay{5000};     ///< no bound is above this
    double factor = 2.0;              ///< growth from one attempt to the next
  };

  /// @pre 0 < options.initial_delay <= options.max_delay, options.factor >= 1.
  explicit Backoff(Options options) : options_(options) {}

  /// The delay before the next attempt. Thread safety: one thread.
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

  /// Starts again with the first delay. Thread safety: one thread.
  void Reset() { bound_ = Milliseconds(0); }

 private:
  Options options_;
  Milliseconds bound_{0};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_BACKOFF_H_
