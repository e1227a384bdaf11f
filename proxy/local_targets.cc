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

constexpr std::uint32_t kMostWarm = 2;

struct LocalRow {
  const PoolSpec* spec = nullptr;
  const RoutedTarget* target = nullptr;
};

/// The row of a local target in the routing, if it takes new work.
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

ConcurrencyLimiter::Options LimitsOf(const LocalRow& row) {
  const std::uint32_t slots =
      std::min(row.spec->slots_per_target, row.target->info.slots);
  return {.slots = std::max(slots, 1U), .queue = row.spec->queue_per_target};
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

asio::awaitable<std::optional<ProxyError>> LocalTarget::Enter(
    RequestControl& control, const Urgency& urgency) {
  const std::uint64_t id = next_id_++;
  const ConcurrencyLimiter::AdmitResult verdict =
      gate_.Acquire(id, urgency, std::chrono::steady_clock::now());
  if (gate_.displaced()) Wake(*gate_.displaced(), false, true);
  switch (verdict) {
    case ConcurrencyLimiter::AdmitResult::kAdmitted:
      co_return std::nullopt;
    case ConcurrencyLimiter::AdmitResult::kFull:
      co_return ProxyError::kFull;
    case ConcurrencyLimiter::AdmitResult::kTooLate:
      co_return ProxyError::kTooLate;
    case ConcurrencyLimiter::AdmitResult::kQueued:
      break;
  }

  // Somebody wakes this request, or its time is over.
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
  if (waiter.displaced) co_return ProxyError::kFull;
  co_return control.stopped() == RequestControl::Stop::kCallerGone
      ? ProxyError::kCallerGone
      : ProxyError::kTooLate;
}

bool LocalTarget::IsFull() const {
  return gate_.running() >= limits_.slots && gate_.waiting() >= limits_.queue;
}

void LocalTarget::Leave(
    const std::optional<ConcurrencyLimiter::ServiceSample>& ended) {
  const ConcurrencyLimiter::ReleaseResult handover =
      gate_.Release(ended, std::chrono::steady_clock::now());
  for (const std::uint64_t id : handover.expired) Wake(id, false, false);
  if (!handover.granted) return;
  if (waiters_.contains(*handover.granted)) {
    Wake(*handover.granted, true, false);
  } else {
    Leave(std::nullopt);  // nobody waits there any more
  }
}

void LocalTarget::Wake(std::uint64_t id, bool granted, bool displaced) {
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
  if (row.target == nullptr) return nullptr;
  const Endpoint address = context_.options.local_target(id);
  if (address.port == 0) return nullptr;

  // A target that came back elsewhere is another one.
  std::shared_ptr<LocalTarget>& target = targets_[id];
  if (!target || target->pool()->endpoint() != address) {
    if (target) target->pool()->Close();
    target = std::make_shared<LocalTarget>(context_.io->get_executor(),
                                           LimitsOf(row),
                                           MakePool(address, *row.spec));
  }
  return target;
}

void LocalTargets::Maintain() {
  const EffectiveRoutingPtr& routing = context_.Routing();
  if (!routing) return;
  // Targets that are new here get their connections before their first request.
  std::vector<TargetId> announced;
  for (const PoolRouting& pool : routing->pools) {
    for (const VersionGroup& group : pool.groups) {
      for (const RoutedTarget& target : group.targets) {
        if (target.local) announced.push_back(target.info.id);
      }
    }
  }
  std::erase_if(targets_, [&](const auto& entry) {
    const bool gone =
        std::ranges::find(announced, entry.first) == announced.end();
    if (gone) entry.second->pool()->Close();
    return gone;
  });
  for (const TargetId& id : announced) {
    const std::shared_ptr<LocalTarget> target = Find(id);
    if (!target) continue;
    target->SetLimits(LimitsOf(FindRow(*routing, id)));
    asio::co_spawn(*context_.io, MaintainPool(target->pool()), asio::detached);
  }
}

void LocalTargets::Close() {
  for (const auto& [id, target] : targets_) target->pool()->Close();
}

std::shared_ptr<ConnectionPool> LocalTargets::MakePool(const Endpoint& address,
                                                       const PoolSpec& spec) {
  return std::make_shared<ConnectionPool>(ConnectionPool::Options{
      .executor = context_.io->get_executor(),
      .endpoint = address,
      .most = spec.connections_per_target,
      .warm = std::min(kMostWarm, spec.connections_per_target),
      .connect_timeout = context_.options.limits.connect_timeout,
      .on_connect = [this] {
        context_.metrics.Count(ProxyMetrics::Counter::kConnects);
      }});
}

}  // namespace camphor
