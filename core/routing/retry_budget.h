#ifndef CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_
#define CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_

#include <cstddef>
#include <unordered_map>

#include "core/base/identifier.h"

namespace camphor {

/// Bounds retries to a share of each pool's requests, so that they can not
/// amplify an overload.
///
/// Every host holds the same rule without asking another: a pool's requests
/// that begin here deposit a part of a token each, a retry takes a whole one,
/// and what may be saved up is this host's part of what all hosts may have
/// saved. So no span of time sees more retries of a pool than the share of its
/// requests in that span and the burst, summed over all hosts. Not thread safe.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.1;      ///< retries for each request of the pool
    double burst = 100;      ///< retries that all hosts together may save up
    bool unlimited = false;  ///< true grants every retry
  };

  /// @pre ratio and burst are not negative.
  explicit RetryBudget(Options options) : options_(options) {}

  /// Takes the number of hosts that share the burst. @pre hosts > 0.
  void SetHosts(std::size_t hosts);

  /// Counts a request that is for the pool.
  void OnRequest(const PoolName& pool);

  /// Takes a retry at the pool. Returns false when there is none left.
  bool TryAcquire(const PoolName& pool);

  /// Retries that may be saved up for a pool on this host.
  double max_tokens() const { return most_saved_; }

 private:
  double& TokensOf(const PoolName& pool);
  double FirstTokens() const;

  Options options_;
  double most_saved_ = 1;
  std::unordered_map<PoolName, double> tokens_;  ///< by pool
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_
