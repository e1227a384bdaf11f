#include "core/routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace camphor {
namespace {

// Fraction of the limit that is used. The calls that a retried request makes
// count as retries where they arrive, but the host that they start on cannot
// recognise them as such.
constexpr double kUsedFraction = 0.8;

// Fraction of the maximum balance that a host starts with: hosts that restart
// together must not get the whole burst a second time.
constexpr double kInitialFraction = 0.1;

}  // namespace

void RetryBudget::SetHosts(std::size_t hosts) {
  assert(hosts > 0);
  // With a maximum below one token, a host could never retry.
  max_tokens_ = std::max(
      1.0, options_.burst * kUsedFraction / static_cast<double>(hosts));
  for (auto& [pool, tokens] : tokens_) tokens = std::min(tokens, max_tokens_);
}

void RetryBudget::OnRequest(const PoolName& pool) {
  double& tokens = PoolTokens(pool);
  tokens = std::min(tokens + options_.ratio * kUsedFraction, max_tokens_);
}

bool RetryBudget::TryAcquire(const PoolName& pool) {
  if (options_.unlimited) return true;
  double& tokens = PoolTokens(pool);
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

double& RetryBudget::PoolTokens(const PoolName& pool) {
  return tokens_.try_emplace(pool, InitialTokens()).first->second;
}

double RetryBudget::InitialTokens() const {
  return std::max(1.0, max_tokens_ * kInitialFraction);
}

}  // namespace camphor
