#ifndef CAMPHORHILL_PROXY_LOAD_BATCH_LIMIT_H_
#define CAMPHORHILL_PROXY_LOAD_BATCH_LIMIT_H_

#include "core/base/time.h"

namespace camphor {

/// Limits how many connections a thread begins to serve in one turn of its
/// loop, so that the turns stay short while it has too little processor time:
/// halved by each long turn, raised by one by each short one. Not thread-safe.
class BatchLimit {
 public:
  struct Options {
    unsigned most = 16;             ///< limit of a thread that has time; bounds
                                    ///< what new connections allocate at once
    Milliseconds longest_turn{50};  ///< a longer turn halves the limit
  };

  /// @pre options.most >= 1.
  explicit BatchLimit(Options options)
      : options_(options), limit_(options.most) {}

  /// Counts one turn of the loop.
  void OnTurn(Microseconds took);

  /// Connections that may begin to be served in the next turn, at least 1.
  unsigned limit() const { return limit_; }

  /// Returns true if the turns have been too long lately.
  bool is_behind() const { return limit_ < options_.most; }

 private:
  Options options_;
  unsigned limit_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_BATCH_LIMIT_H_
