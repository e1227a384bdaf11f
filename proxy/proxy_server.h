#ifndef CAMPHORHILL_PROXY_PROXY_SERVER_H_
#define CAMPHORHILL_PROXY_PROXY_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/claims/claim_status.h"
#include "core/routing/effective_routing.h"
#include "core/routing/request_sample.h"
#include "proxy/header_vocabulary.h"
#include "proxy/proxy_limits.h"
#include "proxy/request_decision.h"

namespace camphor {

using ClaimCallback = std::function<void(ClaimStatus)>;

/// Serves callers on one listener and other hosts' proxies on another, both on
/// one thread.
///
/// Callers' requests are matched to a route, placed on a target, and sent to
/// the target itself when it is local or else to the forward listener of its
/// host. Hooks run on the proxy thread and must be quick.
class ProxyServer {
 public:
  struct Options {
    Endpoint caller_listen{};   ///< where callers connect; port 0 takes any
    Endpoint forward_listen{};  ///< where other hosts' proxies connect; port 0
                                ///< takes any
    HostId host;                ///< this host
    FailureDomain domain;       ///< preferred when targets are chosen
    std::string mesh_key;  ///< proves on the forward listener that the sender
                           ///< is a host of the mesh
    std::function<EffectiveRoutingPtr()>
        routing{};  ///< routing in force; null before the first
    std::function<Endpoint(const TargetId&)>
        local_target{};  ///< address of a target of this host; port 0 if gone
    std::function<void(RequestSample&&)>
        on_sample{};  ///< a request to a target ended
    std::function<void(std::uint64_t fingerprint, const TargetId&)>
        on_target_death{};  ///< a target died under a request
    std::function<void(std::string key, std::uint64_t fingerprint,
                       ClaimCallback)>
        claim{};  ///< claims an idempotency key; may call back on any thread
    std::function<void(std::string key, std::function<void(bool)>)>
        release_claim{};  ///< gives back a granted claim that was not used;
                          ///< calls back with true once no claim stands
    std::function<void(const std::string&)>
        history{};  ///< takes "event=NAME key=value ..." for the history
                    ///< checker; null when it is off
    std::function<void(const RequestDecision&)>
        on_decision{};  ///< what was decided about a request, for the log; null
                        ///< when nobody listens
    HeaderVocabulary vocabulary{};  ///< headers that callers and targets speak
    std::string caller_pool;  ///< pool whose targets call from this host; told
                              ///< to targets when the vocabulary names a header
    bool debug_headers =
        false;  ///< answers carry X-Camphor-Target and X-Camphor-Version
    ProxyLimits limits{};  ///< bounds on callers, connections and retries
  };

  explicit ProxyServer(Options options);
  ~ProxyServer();

  /// Starts both listeners. Returns false, with last_reason set, when an
  /// address can not be had.
  bool Start();

  /// Stops taking new connections and requests; requests in flight go on.
  void BeginDrain();

  /// Requests in flight now. Thread safety: any thread.
  std::uint64_t in_flight() const;

  /// Closes everything and joins the thread.
  void Stop();

  /// The same if no request is in flight. Returns false, and changes nothing,
  /// when there is one. No request can begin between the look and the end.
  /// Thread safety: the thread that stops.
  bool StopIfIdle();

  /// Addresses in use after Start. Thread safety: any thread.
  Endpoint caller_endpoint() const;
  Endpoint forward_endpoint() const;

  /// State as JSON text for the dump. Thread safety: any thread.
  std::string DumpJson() const;

  /// Metrics in the Prometheus text format. Thread safety: any thread.
  std::string MetricsText() const;

  /// Why the last call failed.
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_SERVER_H_
