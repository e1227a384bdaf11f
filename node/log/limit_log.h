#ifndef CAMPHORHILL_NODE_LOG_LIMIT_LOG_H_
#define CAMPHORHILL_NODE_LOG_LIMIT_LOG_H_

#include <cstdint>
#include <string_view>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "node/log/log_sink.h"
#include "proxy/proxy_limit.h"

namespace camphor {

/// Writes a log line each time a limit on connections takes effect, subject to
/// a rate limit. Each line contains the number of lines suppressed so far. Must
/// be used from one thread.
class LimitLog {
 public:
  struct Options {
    LogSink* log = nullptr;   ///< must outlive this object
    std::string_view part{};  ///< component of the lines
    TokenBucket::Options budget{.per_second = 1, .burst = 10};  ///< line rate
  };

  /// @pre options.log is set.
  explicit LimitLog(Options options);

  /// Logs one use of a limit.
  void Write(ProxyLimit limit, MonoTime now);

  /// Logs one use of a limit that `text` describes.
  void Write(std::string_view text, MonoTime now);

 private:
  Options options_;
  TokenBucket budget_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_LOG_LIMIT_LOG_H_
