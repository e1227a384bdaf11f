#ifndef CAMPHORHILL_PROXY_CALLER_REQUEST_H_
#define CAMPHORHILL_PROXY_CALLER_REQUEST_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/config/team_table.h"
#include "core/routing/hedge_policy.h"
#include "core/routing/route_matcher.h"
#include "proxy/exchange.h"
#include "proxy/hedged_attempt.h"
#include "proxy/placed_request.h"
#include "proxy/proxy_context.h"

namespace camphor {

/// Builds the route lookup key from a request header. The result holds views
/// into the header. Thread-safe.
RouteQuery MakeRouteQuery(const http::request_header<>& header);

/// Sends one caller's request to a target, relays the response, and retries on
/// another target where that is safe. If hedging is on, a slow first attempt of
/// a repeatable request may get a hedge on another target (see HedgedAttempt).
/// Must be used from one thread.
///
/// A retry is safe when the request is known not to have run, or when its route
/// is repeatable. A retry also requires that no body bytes beyond the buffered
/// prefix were read and that enough time remains. Once a target may have
/// received the request, a retry takes a token of the retry budget.
class CallerRequest {
 public:
  struct Options {
    const http::request_header<>* header =
        nullptr;                             ///< as received from the caller
    InboundBody* body = nullptr;             ///< its prefix is already buffered
    RequestControl* control = nullptr;       ///< deadline and cancellation
    Exchange::Receiver receiver{};           ///< where the response is written
    MonoTime arrival{};                      ///< when the header was complete
    std::shared_ptr<const TeamSpec> team{};  ///< of the caller; null: none
    std::function<bool()>
        keep_alive{};  ///< returns true if the connection stays open after the
                       ///< response; called once, before its header is written
    std::function<bool()>
        charge_hedge{};  ///< returns true if there are buffers for a hedge of
                         ///< the request; called once at most; null: no
                         ///< hedges
    std::uint32_t responses_before = 0;  ///< responses that the connection owed
                                         ///< when the request was started
  };

  /// Result of a request.
  struct Result {
    std::optional<ProxyError> error{};  ///< error response still to be written
    bool complete = false;              ///< a complete response was relayed
    Milliseconds retry_after{
        0};  ///< when a repetition has a chance; 0: not known
  };

  /// @pre every pointer is set and outlives this.
  CallerRequest(ProxyContext& context, Options options);

  /// Sends the request, including retries, and relays the response.
  asio::awaitable<Result> Run();

 private:
  bool Place();
  asio::awaitable<std::optional<ProxyError>> Attempt();
  asio::awaitable<Exchange::RelayResult> Relay(Exchange& exchange);
  asio::awaitable<void> WaitForDeathPropagation();
  std::uint64_t MakeFingerprint() const;
  std::unique_ptr<RequestRun> MakeRun(RequestControl& control);
  void RecordSent();
  void OnBegun(const RequestRun& run);

  // Hedging; see caller_request_hedging.cc.
  std::optional<HedgePolicy::Delays> HedgeDelays() const;
  bool MayHedgeNow() const;
  HedgePolicy::Candidate HedgeCandidate() const;
  asio::awaitable<std::optional<ProxyError>> HedgedAttemptAfter(
      const HedgePolicy::Delays& delays);
  std::unique_ptr<RequestRun> MakeHedge(RequestControl& control);
  std::optional<Placement> PlaceHedge(MonoTime now);
  void SelectAttempt(HedgedAttempt::Kind kind);
  void OnAttemptBegun(HedgedAttempt::Kind kind, const RequestRun& run,
                      const HedgedAttempt::Outcome& outcome);
  void OnAttemptLost(HedgedAttempt::Kind kind, std::optional<unsigned> status);
  void OnSlow();
  void LearnLatency(bool cancelled = false);
  HedgePolicy::Attempt HedgeKey(const Placement& placement) const;
  bool MayRetry(ProxyError error);
  bool MayAbandon();
  const PoolName& CurrentPool() const;
  bool MissedLatencyTarget(Microseconds latency) const;
  void SetTeamHeader();
  Milliseconds AbandonTimeout() const;
  std::uint32_t MaxAttempts() const;
  Milliseconds ColdRetryAfter();
  void OnError(ProxyError error);
  void OnRelayed(Exchange::RelayResult relayed, unsigned status);
  void ReportSample(RequestOutcome outcome);
  void RecordOutcome(RequestOutcome outcome, Microseconds latency,
                     MonoTime now);
  Result Refuse(ProxyError error);
  void RecordResponse(unsigned status, bool complete) const;
  void Report(RequestDecision::Kind kind, std::string_view reason,
              unsigned status) const;
  const RouteRule& rule() const { return *routing_->routes[route_].rule; }
  const RoutedTarget& target() const { return TargetAt(placement_); }
  const RoutedTarget& TargetAt(const Placement& placement) const;

  ProxyContext& context_;
  Options options_;
  http::request_header<> header_;  ///< as forwarded, without hop-by-hop headers
  std::uint64_t fingerprint_ = 0;
  EffectiveRoutingPtr routing_;
  std::uint32_t route_ = 0;
  std::uint32_t share_ = 0;  ///< index of the chosen share of a split route
  EffectiveRoutingPtr
      placement_routing_;  ///< routing that placement_ refers to
  Placement placement_{};
  std::vector<Placement> tried_;
  std::uint32_t attempt_ = 0;
  std::uint32_t reached_no_target_ =
      0;  ///< attempts refused by the host of a target that is cold, evacuated
          ///< or behind a full link
  MonoTime sent_at_{};
  struct Sent {
    Placement placement{};
    MonoTime at{};
  };
  std::array<Sent, 2> sent_{};    ///< of a hedged attempt, by kind
  bool counted_as_slow_ = false;  ///< its first attempt, by the hedge policy
  bool hedge_is_early_ = false;   ///< its delay is shorter than the one after
                                  ///< which the first attempt counts as slow
  bool has_hedge_ = false;        ///< a hedge was sent and has not failed
  std::optional<ProxyError>
      unknown_outcome_error_;  ///< error of an earlier attempt that may have
                               ///< run
  std::uint32_t target_deaths_ = 0;  ///< targets that died while running it
  bool counted_in_retry_budget_ = false;  ///< reported to the retry budget
  bool may_have_reached_target_ = false;
  bool has_retry_token_ = false;  ///< unused retry budget token is held
  bool answered_ = false;
  bool complete_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CALLER_REQUEST_H_
