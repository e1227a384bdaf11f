#ifndef CAMPHORHILL_UNIT_TESTS_PROXY_TWO_HOSTS_H_
#define CAMPHORHILL_UNIT_TESTS_PROXY_TWO_HOSTS_H_

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/routing/routing_builder.h"
#include "proxy/proxy_server.h"
#include "stand_ins/http/http_connection.h"
#include "stand_ins/http/http_server.h"

namespace camphor {

/// Runs two proxies in one process: h1, which serves callers, and h2, which has
/// the targets. A test may add targets to h1 too.
class TwoHosts : public testing::Test {
 protected:
  using Handler = std::function<void(const HttpExchange&)>;

  void SetUp() override {
    routes_ = {{.name = RouteName("get"),
                .path_prefix = "/get",
                .methods = {},
                .pool = PoolName("p"),
                .timeout = Milliseconds(20'000),
                .repeatable = true},
               {.name = RouteName("once"),
                .path_prefix = "/once",
                .methods = {},
                .pool = PoolName("p"),
                .timeout = Milliseconds(20'000),
                .at_most_once = true},
               {.name = RouteName("post"),
                .path_prefix = "/",
                .methods = {},
                .pool = PoolName("p"),
                .timeout = Milliseconds(20'000)}};
    pool_ = {.name = PoolName("p"), .version = TargetVersion("v1")};
  }

  void TearDown() override {
    for (auto& [id, proxy] : proxies_) proxy->Stop();
    proxies_.clear();
    for (auto& [id, server] : targets_) server->Stop();
  }

  /// Starts a target on a host; `handle` receives its requests.
  void AddTarget(const std::string& host, const std::string& id,
                 Handler handle) {
    auto server = std::make_unique<HttpServer>(
        HttpServer::Options{.handle = std::move(handle)});
    ASSERT_TRUE(server->Start());
    AddTargetAt(host, id, server->endpoint());
    targets_[id] = std::move(server);
  }

  /// Announces a target that is already running.
  void AddTargetAt(const std::string& host, const std::string& id,
                   const Endpoint& endpoint) {
    const std::scoped_lock lock(mutex_);
    addresses_[TargetId(id)] = endpoint;
    host_targets_[host].push_back({.id = TargetId(id),
                                   .pool = PoolName("p"),
                                   .version = TargetVersion("v1"),
                                   .slots = pool_.slots_per_target});
  }

  /// Starts both proxies and publishes the routing.
  void StartHosts(ProxyLimits limits = {}) {
    for (const std::string host : {"h1", "h2"}) {
      ProxyServer::Options options{
          .caller_listen = {.address = "127.0.0.1"},
          .forward_listen = {.address = "127.0.0.1"},
          .host = HostId(host),
          .domain = DomainOf(host),
          .mesh_key = "key",
          .routing = [this, host] { return RoutingOf(host); },
          .accepts_keys = accepts_keys_,
          .local_target =
              [this](const TargetId& id) {
                const std::scoped_lock lock(mutex_);
                return addresses_[id];
              },
          .admit = admit_,
          .on_sample =
              [this](RequestSample&& sample) {
                const std::scoped_lock lock(mutex_);
                ++samples_[sample.outcome];
              },
          .on_target_death =
              [this](std::uint64_t fingerprint, const TargetId& target) {
                const std::scoped_lock lock(mutex_);
                poison_[fingerprint].fingerprint = fingerprint;
                poison_[fingerprint].deaths.insert(
                    {WallTime(Milliseconds(++deaths_)), target});
                RebuildLocked();
              },
          .on_target_leaving =
              [this](const TargetId& target) {
                const std::scoped_lock lock(mutex_);
                said_leaving_.push_back(target.value());
              },
          .on_target_restart =
              [this](const TargetId& target) {
                const std::scoped_lock lock(mutex_);
                restarts_.push_back(target.value());
              },
          .claim = claim_,
          .release_claim = release_claim_,
          .on_decision =
              [this](const RequestDecision& decision) {
                const std::scoped_lock lock(mutex_);
                ++decisions_[decision.kind];
              },
          .vocabulary = vocabulary_,
          .caller_pool = "callers",
          .debug_headers = true,
          .limits = limits};
      proxies_[host] = std::make_unique<ProxyServer>(std::move(options));
      ASSERT_TRUE(proxies_[host]->Start()) << proxies_[host]->last_reason();
    }
    const std::scoped_lock lock(mutex_);
    RebuildLocked();
  }

  /// Rebuilds the routing of both hosts. @pre mutex_ is held.
  void RebuildLocked() {
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->head.version = 1;
    snapshot->routes = routes_;
    snapshot->pools = {pool_};
    snapshot->limits = caller_limits_;
    snapshot->teams = teams_;
    snapshot->evacuated_domains = evacuated_domains_;
    std::map<HostId, HostRecord> hosts;
    for (const auto& [host, proxy] : proxies_) {
      hosts[HostId(host)] = {.host = HostId(host),
                             .domain = DomainOf(host),
                             .forward = proxy->forward_endpoint(),
                             .targets = host_targets_[host]};
    }
    for (const auto& [host, proxy] : proxies_) {
      routings_[host] = std::make_shared<const EffectiveRouting>(
          BuildRouting({.self = HostId(host),
                        .snapshot = snapshot,
                        .hosts = hosts,
                        .rollouts = {},
                        .poison = poison_}));
    }
  }

  FailureDomain DomainOf(const std::string& host) const {
    const auto found = domains_.find(host);
    return found == domains_.end() ? FailureDomain("d") : found->second;
  }

  EffectiveRoutingPtr RoutingOf(const std::string& host) {
    const std::scoped_lock lock(mutex_);
    return routings_[host];
  }

  /// Sends one request to h1 on a new connection.
  std::optional<HttpResponse> Call(HttpRequest request) {
    request.fields.try_emplace("host", "example");
    HttpConnection connection(proxies_["h1"]->caller_endpoint());
    return connection.Call(request, Milliseconds(30'000));
  }

  /// Returns a counter of a host's metrics.
  std::uint64_t Metric(const std::string& host, const std::string& name) {
    const std::string text = proxies_[host]->MetricsText();
    const std::string line = "\ncamphor_proxy_" + name + "_total ";
    const std::size_t at = text.find(line);
    return at == std::string::npos ? 0
                                   : std::stoull(text.substr(at + line.size()));
  }

  std::uint64_t Samples(RequestOutcome outcome) {
    const std::scoped_lock lock(mutex_);
    return samples_[outcome];
  }

  std::mutex mutex_;
  std::vector<RouteRule> routes_;
  PoolSpec pool_;
  HeaderVocabulary vocabulary_;
  CallerLimits caller_limits_;
  TeamTable teams_;
  std::function<std::optional<Milliseconds>(const TeamSpec&)> admit_;
  std::function<bool()> accepts_keys_;
  std::map<std::uint64_t, PoisonRecord> poison_;
  int deaths_ = 0;
  std::map<std::string, std::vector<TargetInfo>> host_targets_;
  std::map<TargetId, Endpoint> addresses_;
  std::map<std::string, EffectiveRoutingPtr> routings_;
  std::map<RequestOutcome, std::uint64_t> samples_;
  std::map<RequestDecision::Kind, std::uint64_t> decisions_;
  std::vector<std::string> said_leaving_;
  std::vector<std::string> restarts_;  ///< targets that may have restarted
  std::map<std::string, FailureDomain> domains_;  ///< by host; "d" if absent
  std::vector<FailureDomain> evacuated_domains_;
  std::map<std::string, std::unique_ptr<HttpServer>> targets_;
  std::map<std::string, std::unique_ptr<ProxyServer>> proxies_;
  std::function<void(std::string, std::uint64_t, ClaimCallback)> claim_;
  std::function<void(std::string, std::function<void(bool)>)> release_claim_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_PROXY_TWO_HOSTS_H_
