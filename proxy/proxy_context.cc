#include "proxy/proxy_context.h"

#include <chrono>
#include <random>
#include <utility>

#include "proxy/host_pools.h"
#include "proxy/local_targets.h"

namespace camphor {

ProxyContext::ProxyContext(ProxyServer::Options server_options)
    : options(std::move(server_options)),
      buffers({.bytes = options.limits.buffer_bytes}),
      io(std::make_shared<asio::io_context>(1)),
      balancer(
          {.domain = options.domain, .random_seed = std::random_device()()}),
      retries({.ratio = options.limits.retry_ratio,
               .burst = options.limits.retry_burst,
               .unlimited = !options.limits.retry_budget}),
      hedges({.share = options.limits.hedge_share}),
      body_transfers({.bits_per_second = options.limits.link_bits_per_second}),
      targets(std::make_unique<LocalTargets>(*this)),
      hosts(std::make_unique<HostPools>(*this)) {}

ProxyContext::~ProxyContext() = default;

void ProxyContext::OnLimit(ProxyLimit limit) {
  using Counter = ProxyMetrics::Counter;
  switch (limit) {
    case ProxyLimit::kBuffersRefused:
      metrics.Count(Counter::kBuffersRefused);
      break;
    case ProxyLimit::kBuffersYielded:
      metrics.Count(Counter::kBuffersYielded);
      break;
    case ProxyLimit::kConnectionsYielded:
      metrics.Count(Counter::kConnectionsYielded);
      break;
    case ProxyLimit::kConnectionsRefused:
      metrics.Count(Counter::kConnectionsRefused);
      break;
    case ProxyLimit::kOverloaded:
      metrics.Count(Counter::kOverloadRefused);
      break;
    case ProxyLimit::kHeaderFields:
      metrics.Count(Counter::kHeaderFieldsRefused);
      break;
    case ProxyLimit::kHandshakeLate:
      metrics.Count(Counter::kHandshakesLate);
      break;
    case ProxyLimit::kHandshakeDisplaced:
      metrics.Count(Counter::kHandshakesDisplaced);
      break;
  }
  if (options.on_limit) options.on_limit(limit);
}

const EffectiveRoutingPtr& ProxyContext::Routing() {
  EffectiveRoutingPtr newest = options.routing ? options.routing() : nullptr;
  if (newest && newest != routing_) {
    routing_ = std::move(newest);
    balancer.SetRouting(routing_, std::chrono::steady_clock::now());
    retries.SetHosts(routing_->hosts);
    hedges.SetHosts(routing_->hosts);
    targets->OnRoutingChanged(*routing_);
  }
  return routing_;
}

std::int64_t HistoryTimeUs() {
  return std::chrono::duration_cast<Microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace camphor
