#include "proxy/host_pools.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

#include "proxy/proxy_context.h"

namespace camphor {
namespace {

constexpr Seconds kUnusedPoolTimeout{60};
constexpr Backoff::Options kReconnect{.initial_delay = Milliseconds(200),
                                      .max_delay = Milliseconds(5000)};

asio::awaitable<void> MaintainPool(std::shared_ptr<ConnectionPool> pool) {
  co_await pool->Maintain();
}

}  // namespace

std::shared_ptr<ConnectionPool> HostPools::Find(const Endpoint& forward) {
  std::shared_ptr<ConnectionPool>& pool = pools_[forward];
  if (!pool) {
    const ProxyLimits& limits = context_.options.limits;
    pool = std::make_shared<ConnectionPool>(ConnectionPool::Options{
        .executor = context_.io->get_executor(),
        .endpoint = forward,
        .max_connections = limits.connections_per_host,
        .warm = 1,
        .connect_timeout = limits.connect_timeout,
        .ping_interval = limits.ping_interval,
        .reconnect = kReconnect,
        .mesh_key = context_.options.mesh_key,
        .on_connect =
            [this] {
              context_.metrics.Count(ProxyMetrics::Counter::kConnects);
            },
        .on_unresponsive =
            [this] {
              context_.metrics.Count(ProxyMetrics::Counter::kSilentConnections);
            }});
  }
  return pool;
}

void HostPools::Maintain() {
  const MonoTime now = std::chrono::steady_clock::now();
  std::erase_if(pools_, [now](const auto& entry) {
    const ConnectionPool& pool = *entry.second;
    const bool unused = pool.last_used() + kUnusedPoolTimeout < now &&
                        pool.open() == pool.idle();
    if (unused) entry.second->Close();
    return unused;
  });
  for (const auto& [endpoint, pool] : pools_) {
    asio::co_spawn(*context_.io, MaintainPool(pool), asio::detached);
  }
}

void HostPools::Close() {
  for (const auto& [endpoint, pool] : pools_) pool->Close();
}

}  // namespace camphor
