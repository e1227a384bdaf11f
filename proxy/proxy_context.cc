#include "proxy/proxy_context.h"

#include <chrono>
#include <random>
#include <utility>

#include "proxy/host_pools.h"
#include "proxy/local_targets.h"

namespace camphor {

ProxyContext::ProxyContext(ProxyServer::Options server_options)
    : options(std::move(server_options)),
      io(std::make_shared<asio::io_context>(1)),
      balancer(
          {.domain = options.domain, .random_seed = std::random_device()()}),
      retries({.ratio = options.limits.retry_ratio,
               .burst = options.limits.retry_burst,
               .unlimited = !options.limits.retry_budget}),
      targets(std::make_unique<LocalTargets>(*this)),
      hosts(std::make_unique<HostPools>(*this)) {}

ProxyContext::~ProxyContext() = default;

const EffectiveRoutingPtr& ProxyContext::Routing() {
  EffectiveRoutingPtr newest = options.routing ? options.routing() : nullptr;
  if (newest && newest != routing_) {
    routing_ = std::move(newest);
    balancer.SetRouting(routing_, std::chrono::steady_clock::now());
    retries.SetHosts(routing_->hosts);
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
