#ifndef CAMPHORHILL_PROXY_LOCAL_TARGETS_H_
#define CAMPHORHILL_PROXY_LOCAL_TARGETS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/base/identifier.h"
#include "core/config/pool_spec.h"
#include "core/routing/slot_gate.h"
#include "proxy/connection_pool.h"
#include "proxy/error_response.h"
#include "proxy/request_control.h"

namespace camphor {

struct ProxyContext;

/// Slots, queue and connections of one target of this host. One thread.
class LocalTarget {
 public:
  LocalTarget(const asio::any_io_executor& executor, SlotGate::Options limits,
              std::shared_ptr<ConnectionPool> pool);

  /// Awaits a slot. Returns the reason when there is none; else call Leave when
  /// the request ends.
  asio::awaitable<std::optional<ProxyError>> Enter(RequestControl& control,
                                                   const Urgency& urgency);

  /// True when a request would be refused now.
  bool IsFull() const;

  /// Gives a slot back and hands it on.
  void Leave(const std::optional<SlotGate::Ended>& ended);

  void SetLimits(SlotGate::Options limits);

  const std::shared_ptr<ConnectionPool>& pool() const { return pool_; }
  const SlotGate& gate() const { return gate_; }

 private:
  void Wake(std::uint64_t id, bool granted, bool displaced);

  struct Waiter {
    explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    bool granted = false;
    bool displaced = false;  ///< a more urgent request took its place
  };

  asio::any_io_executor executor_;
  SlotGate::Options limits_;
  SlotGate gate_;
  std::shared_ptr<ConnectionPool> pool_;
  std::unordered_map<std::uint64_t, Waiter*> waiters_;
  std::uint64_t next_id_ = 1;
};

/// The targets of this host that take work. One thread.
class LocalTargets {
 public:
  explicit LocalTargets(ProxyContext& context) : context_(context) {}

  /// The target, if it is announced here and takes new work; null otherwise.
  std::shared_ptr<LocalTarget> Find(const TargetId& id);

  /// Forgets targets that are gone and keeps connections warm. Call each
  /// second.
  void Maintain();

  /// Closes every idle connection.
  void Close();

  const std::unordered_map<TargetId, std::shared_ptr<LocalTarget>>& targets()
      const {
    return targets_;
  }

 private:
  std::shared_ptr<ConnectionPool> MakePool(const Endpoint& address,
                                           const PoolSpec& spec);

  ProxyContext& context_;
  std::unordered_map<TargetId, std::shared_ptr<LocalTarget>> targets_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOCAL_TARGETS_H_
