#ifndef CAMPHORHILL_PROXY_PROXY_CONTEXT_H_
#define CAMPHORHILL_PROXY_PROXY_CONTEXT_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/base/buffer_budget.h"
#include "core/base/pending_handshakes.h"
#include "core/routing/death_tracker.h"
#include "core/routing/hedge_policy.h"
#include "core/routing/power_of_two_balancer.h"
#include "core/routing/retry_budget.h"
#include "core/routing/retry_schedule.h"
#include "core/routing/transfer_limit.h"
#include "proxy/asio_types.h"
#include "proxy/proxy_metrics.h"
#include "proxy/proxy_server.h"

namespace camphor {

class HostPools;
class LocalTargets;
class ProxySession;

/// State shared by all sessions of one proxy. Owned by ProxyServer. Must be
/// used from the proxy thread, except for the metrics and `in_flight`.
struct ProxyContext {
  explicit ProxyContext(ProxyServer::Options server_options);
  ~ProxyContext();

  /// Returns the current routing and passes changes to the balancer and the
  /// budgets of retries and hedges; null before the first one.
  const EffectiveRoutingPtr& Routing();

  /// Returns true if a request with this deadline could still be running when
  /// this proxy stops.
  bool MayOutlastThisProxy(MonoTime deadline) const {
    return stop_time != MonoTime::max() &&
           deadline + options.limits.deadline_grace > stop_time;
  }

  /// Counts and reports that a limit took effect.
  void OnLimit(ProxyLimit limit);

  /// Writes a history event, if history is enabled.
  template <typename Make>
  void Record(const Make& make) const {
    if (options.history) options.history(make());
  }

  ProxyServer::Options options;
  BufferBudget buffers;          ///< of the sessions
  PendingHandshakes handshakes;  ///< of connections to the forward listener
  std::shared_ptr<asio::io_context> io;
  ProxyMetrics metrics;
  PowerOfTwoBalancer balancer;
  RetryBudget retries;
  HedgePolicy hedges;
  DeathTracker deaths;
  TransferLimit body_transfers;  ///< bodies that other hosts send to this one
  std::map<PoolName, RetrySchedule>
      cold_retries;  ///< Retry-After of pools whose cold targets are busy
  std::unique_ptr<LocalTargets> targets;
  std::unique_ptr<HostPools> hosts;
  std::set<ProxySession*> sessions;  ///< open sessions
  std::uint32_t caller_sessions = 0;
  std::uint32_t forward_sessions = 0;
  std::uint32_t host_sessions = 0;  ///< of them, those of authenticated hosts
  std::uint64_t buffered_response_bytes = 0;  ///< see ResponseSequencer
  std::atomic<std::uint64_t> in_flight{0};
  bool draining = false;
  MonoTime stop_time = MonoTime::max();  ///< when requests in flight are cut
  bool stopping = false;

 private:
  EffectiveRoutingPtr routing_;
};

/// Kind of the peer of a session, which is its group in the buffer budget.
enum class SessionGroup : std::uint32_t {
  kCallers,     ///< peers of the callers' listener
  kHosts,       ///< other hosts that have authenticated
  kHandshakes,  ///< peers of the forward listener that have not
};

/// Returns the steady clock in microseconds, for history events. Thread-safe.
std::int64_t HistoryTimeUs();

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_CONTEXT_H_
