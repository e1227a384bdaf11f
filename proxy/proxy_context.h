#ifndef CAMPHORHILL_PROXY_PROXY_CONTEXT_H_
#define CAMPHORHILL_PROXY_PROXY_CONTEXT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "core/routing/death_tracker.h"
#include "core/routing/power_of_two_balancer.h"
#include "core/routing/retry_budget.h"
#include "proxy/asio_types.h"
#include "proxy/proxy_metrics.h"
#include "proxy/proxy_server.h"

namespace camphor {

class HostPools;
class LocalTargets;
class ProxySession;

/// What all sessions of one proxy share. Owned by ProxyServer, used on the
/// proxy thread but for the metrics and the counts.
struct ProxyContext {
  explicit ProxyContext(ProxyServer::Options server_options);
  ~ProxyContext();

  /// Routing in force, told to the balancer when it changed; null before the
  /// first.
  const EffectiveRoutingPtr& Routing();

  /// Writes an event for the history checker, when that is on.
  template <typename Make>
  void Record(const Make& make) const {
    if (options.history) options.history(make());
  }

  ProxyServer::Options options;
  std::shared_ptr<asio::io_context> io;
  ProxyMetrics metrics;
  PowerOfTwoBalancer balancer;
  RetryBudget retries;
  DeathTracker deaths;
  std::unique_ptr<LocalTargets> targets;
  std::unique_ptr<HostPools> hosts;
  std::set<ProxySession*> sessions;  ///< open ones
  std::uint32_t caller_sessions = 0;
  std::uint32_t forward_sessions = 0;
  std::atomic<std::uint64_t> in_flight{0};
  bool draining = false;
  bool stopping = false;

 private:
  EffectiveRoutingPtr routing_;
};

/// Microseconds of the steady clock, for history events. Thread safety: any
/// thread.
std::int64_t HistoryTimeUs();

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_CONTEXT_H_
