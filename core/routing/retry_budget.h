#ifndef CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_
#define CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_

#include <cstddef>
#include <unordered_map>

#include "core/base/identifier.h"

namespace camphor {

/// Limits retries to a fraction of the requests of each pool, so that retries
/// cannot amplify an overload.
///
/// Each host applies the limit locally, without coordination. Every request of
/// a pool that starts on this host deposits a fraction of a token, and every
/// retry takes a whole token. The token balance is capped at this host's share
/// of the total burst. Hence, summed over all hosts, the retries of a pool
/// within any period do not exceed the ratio times its requests in that period
/// plus the burst. Not thread-safe.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.1;      ///< retries per request of the pool
    double burst = 100;      ///< maximum saved retries of all hosts together
    bool unlimited = false;  ///< true permits every retry
  };

  /// @pre ratio and burst are not negative.
  explicit RetryBudget(Options options) : options_(options) {}

  /// Sets the number of hosts that share the burst. @pre hosts > 0.
  void SetHosts(std::size_t hosts);

  /// Counts a request to the pool.
  void OnRequest(const PoolName& pool);

  /// Takes a token for a retry at the pool. Returns false if there is none, in
  /// which case the request must not be retried.
  bool TryAcquire(const PoolName& pool);

  /// Returns the maximum number of saved retries per pool on this host.
  double max_tokens() const { return max_tokens_; }

 private:
  double& PoolTokens(const PoolName& pool);
  double InitialTokens() const;

  Options options_;
  double max_tokens_ = 1;
  std::unordered_map<PoolName, double> tokens_;  ///< by pool
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_
