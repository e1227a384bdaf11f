#ifndef CAMPHORHILL_PROXY_PROXY_SERVER_H_
#define CAMPHORHILL_PROXY_PROXY_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/claims/claim_status.h"
#include "core/quota/quota_limiter.h"
#include "core/routing/effective_routing.h"
#include "core/routing/request_sample.h"
#include "proxy/header_vocabulary.h"
#include "proxy/load/loop_load.h"
#include "proxy/placement_preview.h"
#include "proxy/proxy_limit.h"
#include "proxy/proxy_limits.h"
#include "proxy/request_decision.h"

namespace camphor {

using ClaimCallback = std::function<void(ClaimStatus)>;

/// Serves callers on one listener and other hosts' proxies on another, both on
/// one thread.
///
/// Matches caller requests to a route, chooses a target, and sends the request
/// directly to a local target or to the forward listener of the target's host.
/// Hooks run on the proxy thread and must not block.
class ProxyServer {
 public:
  struct Options {
    Endpoint caller_listen{};   ///< caller listener; port 0 picks a free port
    Endpoint forward_listen{};  ///< listener for other hosts' proxies; port 0
                                ///< picks a free port
    HostId host;                ///< this host
    FailureDomain
        domain;  ///< failure domain of this host; its targets are preferred
    std::string mesh_key;  ///< key that authenticates hosts of the mesh on the
                           ///< forward listener
    std::function<EffectiveRoutingPtr()>
        routing{};  ///< returns the current routing; null before the first one
    std::function<bool()>
        accepts_keys{};  ///< returns whether the knowledge of the configuration
                         ///< is recent enough to accept keys of teams; called
                         ///< before `routing`; null: always
    std::function<Endpoint(const TargetId&)>
        local_target{};  ///< returns the address of a local target; port 0 if
                         ///< it is gone
    std::function<std::optional<Milliseconds>(const TeamSpec&)>
        admit{};  ///< counts a request against its team's quota; returns the
                  ///< time after which to repeat it if it is refused; null: no
                  ///< quotas
    std::function<std::optional<QuotaLimiter::AdmitPreview>(const TeamSpec&)>
        preview_admit{};  ///< returns what `admit` would do with the next
                          ///< request, which is not counted; std::nullopt: the
                          ///< team has no rate; null: not known
    std::function<void(RequestSample&&)>
        on_sample{};  ///< called when an attempt ends, unless its hedge won
    std::function<void(std::uint64_t fingerprint, const TargetId&)>
        on_target_death{};  ///< called when a target died while running a
                            ///< request
    std::function<void(const TargetId&, std::optional<double> per_second)>
        on_target_limit{};  ///< called when a target of this host names a
                            ///< request limit, changes it, or names none again
    std::function<void(const TargetId&)>
        on_target_leaving{};  ///< called when a target of this host says for
                              ///< the first time that it is leaving
    std::function<void(const TargetId&)>
        on_target_restart{};  ///< called when a target of this host whose pool
                              ///< has a cold rate may have restarted
    std::function<void(std::string key, std::uint64_t fingerprint,
                       ClaimCallback)>
        claim{};  ///< claims an idempotency key; the callback may run on any
                  ///< thread
    std::function<void(std::string key, std::function<void(bool)>)>
        release_claim{};  ///< releases an unused claim; calls back with true
                          ///< once no claim is held
    std::function<void(const std::string&)>
        history{};  ///< receives "event=NAME key=value ..." for the history
                    ///< checker; null when disabled
    std::function<void(const RequestDecision&)>
        on_decision{};  ///< called with each decision on a request, for
                        ///< logging; null when disabled
    std::function<void(const LoopLoad&)>
        on_load{};  ///< called a few times a second with how far the proxy
                    ///< thread is behind; null when disabled
    std::function<void(ProxyLimit)>
        on_limit{};  ///< called when a limit took effect, for logging; null
                     ///< when disabled
    HeaderVocabulary vocabulary{};  ///< names of the headers exchanged with
                                    ///< callers and targets
    std::string
        caller_pool;  ///< pool whose targets call through this host; sent to
                      ///< targets when the vocabulary has a header for it
    bool debug_headers =
        false;  ///< responses carry X-Camphor-Target and X-Camphor-Version
    ProxyLimits limits{};  ///< bounds on callers, connections and retries
  };

  explicit ProxyServer(Options options);
  ~ProxyServer();

  /// Starts both listeners. Returns false, with last_reason set, when an
  /// address cannot be bound.
  bool Start();

  /// Stops accepting new connections and requests; requests in flight continue.
  void BeginDrain();

  /// Sets when this proxy will stop. From now on, requests that could still be
  /// running then are refused before they run. Thread-safe.
  void SetStopTime(MonoTime stop_time);

  /// Returns the number of requests in flight. Thread-safe.
  std::uint64_t in_flight() const;

  /// Closes all connections and joins the thread.
  void Stop();

  /// Stops the server if no request is in flight; otherwise returns false and
  /// changes nothing. The check and the stop are atomic: no request can start
  /// in between. Must be called from the thread that calls Stop.
  bool StopIfIdle();

  /// Returns true while the thread takes new connections: it has had a turn
  /// within the last two seconds. Thread-safe.
  bool IsResponsive() const;

  /// Bound addresses. Thread-safe. @pre Start returned true.
  Endpoint caller_endpoint() const;
  Endpoint forward_endpoint() const;

  /// Returns the state as JSON text for the dump; an empty object before Start
  /// and once the server closes. Thread-safe.
  std::string DumpJson() const;

  /// Determines on the proxy thread where the request would go now, and calls
  /// back there with the result. Changes no state. The callback must not block.
  /// Returns false, and never calls back, before Start and once the server
  /// closes. Thread-safe.
  bool Preview(PreviewRequest request,
               std::function<void(const PlacementPreview&)> done) const;

  /// Returns the metrics in the Prometheus text format. Thread-safe.
  std::string MetricsText() const;

  /// Reason why Start failed.
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_SERVER_H_
