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
/// The proxy thread counts; any thread reads. Counting allocates nothing.
class ProxyMetrics {
 public:
  enum class Counter : std::uint8_t {
    kCallerRequests,      ///< requests of callers that had a whole header
    kForwardRequests,     ///< requests of other hosts' proxies
    kAnswered,            ///< callers' requests that got a target's answer
    kRefusedNotRun,       ///< callers' requests refused, known not run
    kOutcomeUnknown,      ///< callers' requests that may have run
    kBadRequests,         ///< callers' requests with a fault
    kCutAnswers,          ///< answers that ended too soon and were cut
    kCancelled,           ///< callers' requests whose caller went away
    kRetries,             ///< placements after the first
    kRetriesDenied,       ///< retries that the budget did not allow
    kPoisonRefused,       ///< requests refused as poison
    kTargetDeaths,        ///< targets that died under a request
    kSilentConnections,   ///< connections closed since they went silent
    kConnects,            ///< connections opened to targets and hosts
    kStrangers,           ///< connections without a proof of the mesh key
    kSlowCallers,         ///< connections closed since a header took too long
    kConnectionsRefused,  ///< connections over the limit
    kClaimsGranted,       ///< idempotency claims granted
    kClaimsHeld,          ///< requests whose key was claimed before
    kClaimsNotMade,       ///< requests refused since no claim could be made
    kClaimsUnknown,       ///< requests whose claim could not be settled
    kCount,
  };

  ProxyMetrics();
  ~ProxyMetrics();

  /// Adds one. Thread safety: the proxy thread.
  void Count(Counter counter);

  /// Takes the time of one answered request. Thread safety: the proxy thread.
  void OnAnswered(Microseconds total, Microseconds at_target);

  /// Counts how a placed request ended. Thread safety: the proxy thread.
  void OnOutcome(RequestOutcome outcome);

  /// Value of a counter. Thread safety: any thread.
  std::uint64_t Value(Counter counter) const;

  /// Prometheus text. Thread safety: any thread.
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
