#ifndef CAMPHORHILL_NODE_LOG_REQUEST_LOG_H_
#define CAMPHORHILL_NODE_LOG_REQUEST_LOG_H_

#include <cstdint>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "node/log/log_sink.h"
#include "proxy/request_decision.h"

namespace camphor {

/// Writes a log line for each decision about a request, subject to a rate
/// limit.
///
/// Answered requests are sampled by a hash of their ID, so that all hosts log
/// the same requests. All other decisions are logged within the rate limit.
/// Each line contains the number of lines suppressed so far. Must be used from
/// one thread.
class RequestLog {
 public:
  struct Options {
    LogSink* log = nullptr;  ///< must outlive this object
    std::uint32_t answered_sample_one_in =
        128;  ///< log one in N answered requests; 0: none
    TokenBucket::Options budget{.per_second = 20, .burst = 100};  ///< line rate
  };

  /// @pre options.log is set.
  explicit RequestLog(Options options);

  /// Logs one decision. Must be called from one thread.
  void Write(const RequestDecision& decision, MonoTime now);

  /// Number of lines suppressed by the rate limit. Must be called from one
  /// thread.
  std::uint64_t suppressed() const { return suppressed_; }

 private:
  bool IsSampled(const RequestDecision& decision) const;

  Options options_;
  TokenBucket budget_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_LOG_REQUEST_LOG_H_
