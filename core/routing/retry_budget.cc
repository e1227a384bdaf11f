#include "core/routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace camphor {
namespace {

/// Part of the limit that is used. Calls that a repeated run makes count as
/// repeats where they arrive, and the host that they begin on can not tell.
constexpr double kUsedPart = 0.8;

/// Part of what may be saved up that a fresh host has: hosts that start
/// together must not have the whole burst a second time.
constexpr double kFirstPart = 0.1;

}  // namespace

void RetryBudget::SetHosts(std::size_t hosts) {
  assert(hosts > 0);
  // A host that can not save up one whole retry would never have any.
  most_saved_ =
      std::max(1.0, options_.burst * kUsedPart / static_cast<double>(hosts));
  for (auto& [pool, tokens] : tokens_) tokens = std::min(tokens, most_saved_);
}

void RetryBudget::OnRequest(const PoolName& pool) {
  double& tokens = TokensOf(pool);
  tokens = std::min(tokens + options_.ratio * kUsedPart, most_saved_);
}

bool RetryBudget::TryAcquire(const PoolName& pool) {
  if (options_.unlimited) return true;
  double& tokens = TokensOf(pool);
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

double& RetryBudget::TokensOf(const PoolName& pool) {
  return tokens_.try_emplace(pool, FirstTokens()).first->second;
}

double RetryBudget::FirstTokens() const {
  return std::max(1.0, most_saved_ * kFirstPart);
}

}  // namespace camphor
