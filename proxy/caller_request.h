#ifndef CAMPHORHILL_PROXY_CALLER_REQUEST_H_
#define CAMPHORHILL_PROXY_CALLER_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/routing/route_matcher.h"
#include "proxy/exchange.h"
#include "proxy/placed_request.h"
#include "proxy/proxy_context.h"

namespace camphor {

/// What of a request's header decides its route. The result holds views into
/// the header. Thread safety: any thread.
RouteQuery QueryOf(const http::request_header<>& header);

/// Places one caller's request, passes the answer on, and tries again where
/// that is safe. One thread.
///
/// It is safe when the request is known not to have run, or may be repeated; a
/// retry also needs the body's beginning to be all that was read of it, time,
/// and a token of the retry budget.
class CallerRequest {
 public:
  struct Options {
    const http::request_header<>* header = nullptr;  ///< as the caller sent it
    InboundBody* body = nullptr;                     ///< its beginning was read
    RequestControl* control = nullptr;  ///< deadline and cancellation
    Exchange::Receiver receiver{};      ///< where the answer goes
    MonoTime arrival{};                 ///< when the header was whole
    bool keep_alive = true;             ///< the caller keeps its connection
  };

  /// How it ended.
  struct Ended {
    std::optional<ProxyError> error{};  ///< to be written: nothing was so far
    bool whole = false;                 ///< a whole answer was passed on
  };

  /// @pre every pointer is set and outlives this.
  CallerRequest(ProxyContext& context, Options options);

  /// Serves the request.
  asio::awaitable<Ended> Run();

 private:
  bool Place();
  asio::awaitable<std::optional<ProxyError>> Attempt();
  asio::awaitable<Exchange::Relayed> Relay(Exchange& exchange);
  asio::awaitable<void> AwaitDeathNotice();
  std::unique_ptr<RequestRun> MakeRun();
  bool MayRetry(ProxyError error);
  bool MayAbandon();
  const PoolName& PoolNow() const;
  bool TookTooLong(Microseconds latency) const;
  Urgency UrgencyNow() const;
  Milliseconds SilenceAllowed() const;
  std::uint32_t MostAttempts() const;
  void OnError(ProxyError error);
  void OnRelayed(Exchange::Relayed relayed, unsigned status);
  void Sample(RequestOutcome outcome);
  Ended Refuse(ProxyError error);
  void RecordAnswer(unsigned status, bool whole) const;
  void Report(RequestDecision::Kind kind, std::string_view reason,
              unsigned status) const;
  const RouteRule& rule() const { return *routing_->routes[route_].rule; }
  const RoutedTarget& target() const;

  ProxyContext& context_;
  Options options_;
  http::request_header<> header_;  ///< as it travels on
  std::uint64_t fingerprint_ = 0;
  EffectiveRoutingPtr routing_;
  std::uint32_t route_ = 0;
  std::uint32_t share_ = 0;        ///< part of a divided route
  EffectiveRoutingPtr placed_in_;  ///< routing that placement_ belongs to
  Placement placement_{};
  std::vector<Placement> tried_;
  std::uint32_t attempt_ = 0;
  MonoTime sent_at_{};
  std::optional<ProxyError> unknown_;  ///< an attempt before may have run
  std::uint32_t deaths_ = 0;           ///< targets that died under it
  bool counted_ = false;    ///< the retry budget knows of the request
  bool arrived_ = false;    ///< a target may have received it
  bool has_token_ = false;  ///< of the retry budget, not yet used
  bool answered_ = false;
  bool whole_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CALLER_REQUEST_H_
