#ifndef CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_
#define CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace camphor {

/// Bounds retries to a share of recent successes, so that they can not amplify
/// an overload.
///
/// Each success deposits a part of a token, each retry takes a whole one. What
/// is saved is bounded, so that a long calm does not buy a storm. Not thread
/// safe.
class RetryBudget {
 public:
  struct Options {
    std::uint32_t percent = 10;       ///< retries for each hundred successes
    std::uint32_t most_retries = 50;  ///< retries that can be saved up
    bool unlimited = false;           ///< true grants every retry
  };

  /// Starts with a tenth of what can be saved, so that a fresh proxy can retry.
  explicit RetryBudget(Options options)
      : options_(options),
        most_(std::int64_t{options.most_retries} * kTokenCost),
        tokens_(most_ / 10) {}

  /// Counts a request that a target answered without failing.
  void OnSuccess() {
    tokens_ = std::min(tokens_ + std::int64_t{options_.percent}, most_);
  }

  /// Takes a retry. Returns false when there is none left.
  bool TryTake() {
    if (options_.unlimited) return true;
    if (tokens_ < kTokenCost) return false;
    tokens_ -= kTokenCost;
    return true;
  }

  /// Retries that could be taken now.
  std::int64_t available() const { return tokens_ / kTokenCost; }

 private:
  static constexpr std::int64_t kTokenCost = 100;  // one retry, in percent

  Options options_;
  std::int64_t most_;
  std::int64_t tokens_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_RETRY_BUDGET_H_
