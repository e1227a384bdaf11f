#include "proxy/local_targets.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "proxy/proxy_context.h"

namespace camphor {
namespace {

constexpr std::uint32_t kMaxWarmConnections = 2;

/// Time for which this proxy takes a target as cold by itself. Longer than the
/// 1.5 s between two reports; by then the status says what the report said.
constexpr Milliseconds kAssumedColdTime{2000};

struct LocalRow {
  const PoolSpec* spec = nullptr;
  const RoutedTarget* target = nullptr;
};

/// Finds a local target in the routing; empty when it accepts no new work.
LocalRow FindRow(const EffectiveRouting& routing, const TargetId& id) {
  for (const PoolRouting& pool : routing.pools) {
    for (const VersionGroup& group : pool.groups) {
      const auto found = std::ranges::lower_bound(
          group.targets, id, {},
          [](const RoutedTarget& target) { return target.info.id; });
      if (found != group.targets.end() && found->info.id == id &&
          found->local) {
        return {.spec = &pool.spec, .target = &*found};
      }
    }
  }
  return {};
}

ConcurrencyLimiter::Options MakeSlotLimits(const LocalRow& row) {
  const std::uint32_t slots =
      std::min(row.spec->slots_per_target, row.target->info.slots);
  return {.slots = std::max(slots, 1U), .queue = row.spec->queue_per_target};
}

void SetCold(LocalTarget& target, const LocalRow& row, MonoTime now) {
  target.SetCold(row.target->info.status == TargetStatus::kWarming,
                 row.spec->cold_requests_per_second, now);
}

/// Maps the result of asking for a slot to an error; std::nullopt: admitted or
/// queued.
std::optional<ProxyError> FindRefusal(ConcurrencyLimiter::AdmitResult verdict) {
  switch (verdict) {
    case ConcurrencyLimiter::AdmitResult::kFull:
      return ProxyError::kFull;
    case ConcurrencyLimiter::AdmitResult::kTooLate:
      return ProxyError::kTooLate;
    case ConcurrencyLimiter::AdmitResult::kAdmitted:
    case ConcurrencyLimiter::AdmitResult::kQueued:
      break;
  }
  return std::nullopt;
}

asio::awaitable<void> MaintainPool(std::shared_ptr<ConnectionPool> pool) {
  co_await pool->Maintain();
}

}  // namespace

LocalTarget::LocalTarget(const asio::any_io_executor& executor,
                         ConcurrencyLimiter::Options limits,
                         std::shared_ptr<ConnectionPool> pool)
    : executor_(executor),
      limits_(limits),
      gate_(limits),
      pool_(std::move(pool)) {}

asio::awaitable<std::optional<ProxyError>> LocalTarget::AcquireSlot(
    RequestControl& control, const Urgency& urgency) {
  const std::uint64_t id = next_id_++;
  const ConcurrencyLimiter::AdmitResult verdict =
      gate_.Acquire(id, urgency, std::chrono::steady_clock::now());
  if (gate_.displaced()) ResumeWaiter(*gate_.displaced(), false, true);
  if (verdict != ConcurrencyLimiter::AdmitResult::kQueued)
    co_return FindRefusal(verdict);

  // Wait until a slot is granted, the request is displaced or its deadline
  // passes.
  Waiter waiter(executor_);
  waiter.timer.expires_at(urgency.deadline);
  waiters_[id] = &waiter;
  {
    const RequestControl::Scope scope(control,
                                      [&waiter] { waiter.timer.cancel(); });
    if (control.stopped() == RequestControl::Stop::kNone) {
      co_await waiter.timer.async_wait(kAsTuple);
    }
  }
  waiters_.erase(id);
  if (waiter.granted) co_return std::nullopt;
  gate_.Cancel(id);
  if (waiter.evacuated) co_return ProxyError::kEvacuated;
  if (waiter.displaced) co_return ProxyError::kFull;
  co_return control.stopped() == RequestControl::Stop::kCallerGone
      ? ProxyError::kCallerGone
      : ProxyError::kTooLate;
}

void LocalTarget::SetStatement(const Statement& statement) {
  leaving_ = leaving_ || statement.leaving;
  rate_limit_.Set(statement.request_limit, std::chrono::steady_clock::now());
}

void LocalTarget::RefuseWaiters() {
  for (const auto& [id, waiter] : waiters_) {
    // A request that has its slot already is refused where it continues.
    if (waiter->granted) continue;
    waiter->evacuated = true;
    gate_.Cancel(id);
    waiter->timer.cancel();
  }
}

void LocalTarget::SetCold(bool cold, double per_second, MonoTime now) {
  is_cold_ = cold;
  cold_rate_ = per_second;
  // From here on the status says when it is warm again.
  if (cold) assumed_cold_until_ = {};
  ApplyColdLimit(now);
}

bool LocalTarget::AssumeCold(MonoTime now) {
  if (cold_rate_ <= 0 || is_cold_ || assumed_cold_until_ > now) return false;
  assumed_cold_until_ = now + kAssumedColdTime;
  ApplyColdLimit(now);
  return true;
}

void LocalTarget::ApplyColdLimit(MonoTime now) {
  const bool limited =
      cold_rate_ > 0 && (is_cold_ || assumed_cold_until_ > now);
  cold_limit_.Set(limited ? std::optional(cold_rate_) : std::nullopt, now);
}

bool LocalTarget::IsFull() const {
  return gate_.running() >= limits_.slots && gate_.waiting() >= limits_.queue;
}

std::optional<ProxyError> LocalTarget::CheckAdmission(std::uint32_t priority,
                                                      bool claims,
                                                      MonoTime now) {
  if (leaving_) return ProxyError::kNoTarget;
  if (!rate_limit_.HasRoom(now)) return ProxyError::kRateLimited;
  if (!cold_limit_.HasRoom(priority, now)) return ProxyError::kCold;
  // Do not claim the key when the target has no free slot or queue entry.
  if (claims && IsFull()) return ProxyError::kFull;
  return std::nullopt;
}

RunPreview LocalTarget::SimulateRun(const Urgency& urgency, bool claims,
                                    MonoTime now) {
  RunPreview preview{.running = gate_.running(),
                     .waiting = gate_.waiting(),
                     .slots = limits_.slots,
                     .queue = limits_.queue};
  preview.refusal = CheckAdmission(urgency.priority, claims, now);
  if (preview.refusal) return preview;
  const ConcurrencyLimiter::AdmitResult verdict =
      gate_.Acquire(next_id_, urgency, now);
  preview.refusal = FindRefusal(verdict);
  preview.waits = verdict == ConcurrencyLimiter::AdmitResult::kQueued;
  return preview;
}

void LocalTarget::ReleaseSlot(
    const std::optional<ConcurrencyLimiter::ServiceSample>& ended) {
  const ConcurrencyLimiter::ReleaseResult handover =
      gate_.Release(ended, std::chrono::steady_clock::now());
  for (const std::uint64_t id : handover.expired)
    ResumeWaiter(id, false, false);
  if (!handover.granted) return;
  if (waiters_.contains(*handover.granted)) {
    ResumeWaiter(*handover.granted, true, false);
  } else {
    ReleaseSlot(std::nullopt);  // the waiter is gone: grant to the next one
  }
}

void LocalTarget::ResumeWaiter(std::uint64_t id, bool granted, bool displaced) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) return;
  found->second->granted = granted;
  found->second->displaced = displaced;
  found->second->timer.cancel();
}

void LocalTarget::SetLimits(ConcurrencyLimiter::Options limits) {
  limits_ = limits;
  gate_.SetOptions(limits);
}

std::shared_ptr<LocalTarget> LocalTargets::Find(const TargetId& id) {
  const EffectiveRoutingPtr& routing = context_.Routing();
  if (!routing || !context_.options.local_target) return nullptr;
  const LocalRow row = FindRow(*routing, id);
  if (row.target == nullptr) {
    // One that is announced again later is another run of the target. During
    // an evacuation it may be the same one, with requests that still run.
    if (!IsEvacuated()) Remove(id);
    return nullptr;
  }
  const Endpoint address = context_.options.local_target(id);
  if (address.port == 0) return nullptr;

  // A target at a new address is a new instance.
  std::shared_ptr<LocalTarget>& target = targets_[id];
  if (!target || target->pool()->endpoint() != address) {
    if (target) target->pool()->Close();
    target = std::make_shared<LocalTarget>(context_.io->get_executor(),
                                           MakeSlotLimits(row),
                                           MakePool(id, address, *row.spec));
  }
  SetCold(*target, row, std::chrono::steady_clock::now());
  return target;
}

RunPreview LocalTargets::PreviewRun(const EffectiveRouting& routing,
                                    const TargetId& id, const Urgency& urgency,
                                    bool claims, MonoTime now) const {
  if (routing.IsEvacuated(context_.options.domain))
    return {.refusal = ProxyError::kEvacuated};
  const LocalRow row = FindRow(routing, id);
  if (row.target == nullptr || !context_.options.local_target)
    return {.refusal = ProxyError::kNoTarget};
  const Endpoint address = context_.options.local_target(id);
  if (address.port == 0) return {.refusal = ProxyError::kNoTarget};
  // As in Find, a target at a new address is a new instance.
  const auto known = targets_.find(id);
  LocalTarget copy =
      known != targets_.end() && known->second->pool()->endpoint() == address
          ? *known->second
          : LocalTarget(context_.io->get_executor(), MakeSlotLimits(row),
                        nullptr);
  SetCold(copy, row, now);
  return copy.SimulateRun(urgency, claims, now);
}

bool LocalTargets::IsEvacuated() const {
  const EffectiveRoutingPtr& routing = context_.Routing();
  return routing && routing->IsEvacuated(context_.options.domain);
}

void LocalTargets::OnRoutingChanged(const EffectiveRouting& routing) {
  const bool evacuated = routing.IsEvacuated(context_.options.domain);
  const MonoTime now = std::chrono::steady_clock::now();
  for (const auto& [id, target] : targets_) {
    if (evacuated) target->RefuseWaiters();
    // Requests that wait for a slot do not look the target up again.
    const LocalRow row = FindRow(routing, id);
    if (row.target != nullptr) SetCold(*target, row, now);
  }
}

void LocalTargets::AssumeCold(const TargetId& id, LocalTarget& target) {
  if (!target.AssumeCold(std::chrono::steady_clock::now())) return;
  context_.metrics.Count(ProxyMetrics::Counter::kColdAssumed);
  if (context_.options.on_target_restart)
    context_.options.on_target_restart(id);
}

void LocalTargets::Remove(const TargetId& id) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) return;
  found->second->pool()->Close();
  targets_.erase(found);
}

void LocalTargets::Maintain() {
  const EffectiveRoutingPtr& routing = context_.Routing();
  if (!routing) return;
  // Open connections to new targets before their first request.
  std::vector<TargetId> announced;
  for (const PoolRouting& pool : routing->pools) {
    for (const VersionGroup& group : pool.groups) {
      for (const RoutedTarget& target : group.targets) {
        if (target.local) announced.push_back(target.info.id);
      }
    }
  }
  const bool evacuated = IsEvacuated();
  std::erase_if(targets_, [&](const auto& entry) {
    const bool absent =
        std::ranges::find(announced, entry.first) == announced.end();
    // Requests that run in an evacuated domain keep their slots, so that the
    // target gets no more than its slots when the evacuation ends.
    const bool gone =
        absent && (!evacuated || entry.second->gate().running() == 0);
    if (gone) entry.second->pool()->Close();
    return gone;
  });
  for (const TargetId& id : announced) {
    const std::shared_ptr<LocalTarget> target = Find(id);
    if (!target) continue;
    target->SetLimits(MakeSlotLimits(FindRow(*routing, id)));
    asio::co_spawn(*context_.io, MaintainPool(target->pool()), asio::detached);
  }
}

void LocalTargets::Close() {
  for (const auto& [id, target] : targets_) target->pool()->Close();
}

std::shared_ptr<ConnectionPool> LocalTargets::MakePool(const TargetId& id,
                                                       const Endpoint& address,
                                                       const PoolSpec& spec) {
  return std::make_shared<ConnectionPool>(ConnectionPool::Options{
      .executor = context_.io->get_executor(),
      .endpoint = address,
      .max_connections = spec.connections_per_target,
      .warm = std::min(kMaxWarmConnections, spec.connections_per_target),
      .connect_timeout = context_.options.limits.connect_timeout,
      .on_connect =
          [this] { context_.metrics.Count(ProxyMetrics::Counter::kConnects); },
      .on_all_lost =
          [this, id, address] {
            const auto found = targets_.find(id);
            if (found == targets_.end()) return;
            const std::shared_ptr<LocalTarget> target = found->second;
            if (target->pool()->endpoint() == address) AssumeCold(id, *target);
          }});
}

}  // namespace camphor
