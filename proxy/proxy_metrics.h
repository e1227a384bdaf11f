#ifndef CAMPHORHILL_PROXY_PROXY_METRICS_H_
#define CAMPHORHILL_PROXY_PROXY_METRICS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "core/base/time.h"
#include "core/routing/request_sample.h"

namespace camphor {

/// Counters and latencies of one proxy.
///
/// Written by the proxy thread, readable from any thread. Counting does not
/// allocate.
class ProxyMetrics {
 public:
  enum class Counter : std::uint8_t {
    kCallerRequests,     ///< caller requests with a complete header
    kPipelinedRequests,  ///< caller requests that were started while an
                         ///< earlier one of the connection was unanswered
    kForwardRequests,    ///< requests from other hosts' proxies
    kAnswered,        ///< caller requests that got a complete target response
    kRefusedNotRun,   ///< caller requests refused and known not to have run
    kOutcomeUnknown,  ///< caller requests that may have run
    kBadRequests,     ///< malformed requests
    kUnauthorized,    ///< caller requests without an API key of a team
    kOverQuota,       ///< caller requests over the quota of their team
    kCutAnswers,      ///< truncated responses
    kCancelled,       ///< caller requests whose caller disconnected
    kRetries,         ///< attempts after the first
    kRetriesDenied,   ///< retries denied by the retry budget
    kPoisonRefused,   ///< requests refused as poison
    kTargetDeaths,    ///< targets that died while running a request
    kSilentConnections,  ///< connections closed as unresponsive
    kConnects,           ///< connections opened to targets and hosts
    kUnauthenticated,    ///< connections without a valid mesh key proof
    kSlowCallers,  ///< connections on which the sender exceeded a read or write
                   ///< timeout
    kConnectionsRefused,   ///< connections refused over the limit
    kOverloadRefused,      ///< connections refused because the host is behind
    kBuffersRefused,       ///< requests and connections refused for lack of
                           ///< buffers
    kBuffersYielded,       ///< connections that gave their buffers to others
    kConnectionsYielded,   ///< connections closed in favour of new ones
    kHeaderFieldsRefused,  ///< requests refused for their number of fields
    kHandshakesLate,       ///< connections closed because their peer did not
                           ///< authenticate in time
    kHandshakesDisplaced,  ///< the same, in favour of newer connections
    kClaimsGranted,        ///< idempotency claims granted
    kClaimsHeld,           ///< requests whose key was already claimed
    kClaimsNotMade,        ///< requests refused because no claim could be made
    kClaimsUnknown,        ///< requests whose claim has an unknown result
    kColdRefused,  ///< attempts refused because a target of this host is cold
    kEvacuatedRefused,  ///< attempts refused because the failure domain of this
                        ///< host is evacuated
    kColdAssumed,       ///< times that a target of this host was taken as cold
                        ///< because it may have restarted
    kLinkFullRefused,   ///< attempts refused because the link of this host has
                        ///< no room for their bodies
    kHedgesSent,        ///< second copies of slow requests
    kHedgesWon,         ///< of those, the ones whose response was relayed
    kHedgesDenied,      ///< requests whose hedge delay passed, without a copy
    kCount,
  };

  ProxyMetrics();
  ~ProxyMetrics();

  /// Increments a counter. Must be called from the proxy thread.
  void Count(Counter counter);

  /// Adds the latencies of one completed request. Must be called from the proxy
  /// thread.
  void OnAnswered(Microseconds total, Microseconds at_target);

  /// Counts the outcome of one attempt. Must be called from the proxy thread.
  void OnOutcome(RequestOutcome outcome);

  /// Returns the value of a counter. Thread-safe.
  std::uint64_t Value(Counter counter) const;

  /// Returns the metrics in the Prometheus text format. Thread-safe.
  std::string Text() const;

 private:
  struct Latencies;
  static constexpr std::size_t kCounters =
      static_cast<std::size_t>(Counter::kCount);
  static constexpr std::size_t kOutcomes = 6;

  std::array<std::atomic<std::uint64_t>, kCounters> counters_{};
  std::array<std::atomic<std::uint64_t>, kOutcomes> outcomes_{};
  std::unique_ptr<Latencies> latencies_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_METRICS_H_
