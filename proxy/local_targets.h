#ifndef CAMPHORHILL_PROXY_LOCAL_TARGETS_H_
#define CAMPHORHILL_PROXY_LOCAL_TARGETS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/base/identifier.h"
#include "core/config/pool_spec.h"
#include "core/routing/cold_target_limit.h"
#include "core/routing/concurrency_limiter.h"
#include "core/routing/effective_routing.h"
#include "core/routing/target_rate_limit.h"
#include "proxy/connection_pool.h"
#include "proxy/error_response.h"
#include "proxy/request_control.h"
#include "proxy/run_preview.h"

namespace camphor {

struct ProxyContext;

/// Slots, queue and connections of one target of this host. Must be used from
/// one thread.
class LocalTarget {
 public:
  LocalTarget(const asio::any_io_executor& executor,
              ConcurrencyLimiter::Options limits,
              std::shared_ptr<ConnectionPool> pool);

  /// Awaits a slot. Returns an error when none is granted; otherwise call
  /// ReleaseSlot when the request ends.
  asio::awaitable<std::optional<ProxyError>> AcquireSlot(
      RequestControl& control, const Urgency& urgency);

  /// Returns true when a request would be refused now.
  bool IsFull() const;

  /// Returns why a request is refused before it asks for a slot. `claims` says
  /// that it would claim an idempotency key. Remembers that a request of this
  /// priority has asked.
  std::optional<ProxyError> CheckAdmission(std::uint32_t priority, bool claims,
                                           MonoTime now);

  /// Admits a request and tells what happened to it. Changes the state without
  /// starting a request: call it on a copy, and don't use that copy further.
  RunPreview SimulateRun(const Urgency& urgency, bool claims, MonoTime now);

  /// Refuses the requests that wait for a slot: the failure domain is
  /// evacuated.
  void RefuseWaiters();

  /// Releases a slot and grants it to the next waiter.
  void ReleaseSlot(
      const std::optional<ConcurrencyLimiter::ServiceSample>& ended);

  void SetLimits(ConcurrencyLimiter::Options limits);

  /// What the target says about itself in its responses.
  struct Statement {
    std::optional<double> request_limit{};  ///< requests per second; see
                                            ///< HeaderVocabulary
    bool leaving = false;                   ///< gets no new requests

    auto operator<=>(const Statement&) const = default;
  };

  /// Takes over what the newest response says. A target that has said that it
  /// is leaving stays so.
  void SetStatement(const Statement& statement);

  /// Sets whether the target is cold, as its status says, and the rate that
  /// its pool tolerates then; 0: no limit.
  void SetCold(bool cold, double per_second, MonoTime now);

  /// Takes the target as cold: it may have restarted, and its next report is
  /// still to come. Returns false if it was taken as cold before, or if its
  /// pool has no cold rate.
  bool AssumeCold(MonoTime now);

  /// Limit on its requests while it is cold.
  ColdTargetLimit& cold_limit() { return cold_limit_; }
  const ColdTargetLimit& cold_limit() const { return cold_limit_; }

  /// Limit that the target names on its requests.
  TargetRateLimit& rate_limit() { return rate_limit_; }
  Statement statement() const {
    return {.request_limit = rate_limit_.per_second(), .leaving = leaving_};
  }

  const std::shared_ptr<ConnectionPool>& pool() const { return pool_; }
  const ConcurrencyLimiter& gate() const { return gate_; }

 private:
  void ResumeWaiter(std::uint64_t id, bool granted, bool displaced);
  void ApplyColdLimit(MonoTime now);

  struct Waiter {
    explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    bool granted = false;
    bool displaced = false;  ///< displaced by a more urgent request
    bool evacuated = false;  ///< refused by RefuseWaiters
  };

  asio::any_io_executor executor_;
  ConcurrencyLimiter::Options limits_;
  ConcurrencyLimiter gate_;
  std::shared_ptr<ConnectionPool> pool_;
  std::unordered_map<std::uint64_t, Waiter*> waiters_;
  std::uint64_t next_id_ = 1;
  bool leaving_ = false;  ///< it said so
  TargetRateLimit rate_limit_;
  ColdTargetLimit cold_limit_;
  bool is_cold_ = false;  ///< as its status says
  double cold_rate_ = 0;  ///< that its pool tolerates; 0: no limit
  MonoTime assumed_cold_until_{};
};

/// Targets of this host that accept work. Must be used from one thread.
class LocalTargets {
 public:
  explicit LocalTargets(ProxyContext& context) : context_(context) {}

  /// Returns the target if it is announced here and accepts new work, null
  /// otherwise.
  std::shared_ptr<LocalTarget> Find(const TargetId& id);

  /// Returns what would happen to a request at a target of this host under
  /// `routing`, without changing anything.
  RunPreview PreviewRun(const EffectiveRouting& routing, const TargetId& id,
                        const Urgency& urgency, bool claims,
                        MonoTime now) const;

  /// Updates which targets are cold, and refuses what waits for a slot if this
  /// host's failure domain is evacuated. Call with each new routing.
  void OnRoutingChanged(const EffectiveRouting& routing);

  /// Takes a target as cold, counts that and reports it.
  void AssumeCold(const TargetId& id, LocalTarget& target);

  /// Returns true if the failure domain of this host is evacuated.
  bool IsEvacuated() const;

  /// Removes withdrawn targets and keeps connections warm. Call once a second.
  void Maintain();

  /// Closes every idle connection.
  void Close();

  const std::unordered_map<TargetId, std::shared_ptr<LocalTarget>>& targets()
      const {
    return targets_;
  }

 private:
  void Remove(const TargetId& id);
  std::shared_ptr<ConnectionPool> MakePool(const TargetId& id,
                                           const Endpoint& address,
                                           const PoolSpec& spec);

  ProxyContext& context_;
  std::unordered_map<TargetId, std::shared_ptr<LocalTarget>> targets_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOCAL_TARGETS_H_
