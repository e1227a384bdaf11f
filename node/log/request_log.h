#ifndef CAMPHORHILL_NODE_LOG_REQUEST_LOG_H_
#define CAMPHORHILL_NODE_LOG_REQUEST_LOG_H_

#include <cstdint>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "node/log/log_sink.h"
#include "proxy/request_decision.h"

namespace camphor {

/// Writes a line for each decision about a request, within a budget.
///
/// Requests that were answered are sampled by their id, so that every host
/// keeps the same ones; whatever did not go well is written while the budget
/// lasts. Lines that were left out are counted on the next one. One thread.
class RequestLog {
 public:
  struct Options {
    LogSink* log = nullptr;  ///< outlives this
    std::uint32_t answered_one_in =
        128;  ///< one in so many answered requests is written; 0: none
    TokenBucket::Options budget{.per_second = 20, .burst = 100};  ///< lines
  };

  /// @pre options.log is set.
  explicit RequestLog(Options options);

  /// Takes one decision. Thread safety: one thread.
  void Write(const RequestDecision& decision, MonoTime now);

  /// Lines that the budget left out so far. Thread safety: one thread.
  std::uint64_t left_out() const { return left_out_; }

 private:
  bool Samples(const RequestDecision& decision) const;

  Options options_;
  TokenBucket budget_;
  std::uint64_t left_out_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_LOG_REQUEST_LOG_H_
