#ifndef CAMPHORHILL_CORE_ROUTING_HEDGE_POLICY_H_
#define CAMPHORHILL_CORE_ROUTING_HEDGE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/routing/retry_budget.h"

namespace camphor {

/// Decides whether a second copy (hedge) of a slow request may be sent to
/// another target.
///
/// Load: pools of 2 to 1,800 targets of which a few are slow or stall at times,
/// with up to some thousand requests a second on this host.
///
/// Learns the latency of each route as quantiles that follow the last few
/// hundred responses. Every request of a pool deposits the share of its route,
/// a hedge takes a whole token and also one of the retry budget. Hence, in any
/// period, the hedges of a pool on this host don't exceed the sum over its
/// routes of the share times the requests in that period, plus max_tokens().
/// The tokens of a pool serve all of its routes that have a share. The state
/// grows with the number of routes plus the number of pools. For routes without
/// a share, nothing is learned or kept. Must be used from one thread; the
/// current time is passed in.
class HedgePolicy {
 public:
  struct Options {
    double share = 0;   ///< hedges per request of routes that have no share of
                        ///< their own; 0: no hedges
    double burst = 10;  ///< maximum saved hedges of a pool on all hosts
                        ///< together; at least one on each host
  };

  /// Share of a route that overrides that of the options; not set: it does not.
  /// Never negative.
  using RouteShare = std::optional<double>;

  /// @pre share and burst are not negative.
  explicit HedgePolicy(Options options);
  ~HedgePolicy();
  HedgePolicy(const HedgePolicy&) = delete;
  HedgePolicy& operator=(const HedgePolicy&) = delete;

  /// Returns true if requests of a route with this share may be hedged at all.
  bool enabled(RouteShare share = {}) const { return ShareOf(share) > 0; }

  /// Sets the number of hosts that share the burst. @pre hosts > 0.
  void SetHosts(std::size_t hosts);

  /// Counts a request to the pool, without its retries and hedges.
  void OnRequest(const PoolName& pool, RouteShare share = {});

  /// The first attempt of a request. No pointer may be null.
  struct Attempt {
    const RouteName* route = nullptr;  ///< route of the request
    const PoolName* pool = nullptr;    ///< pool of the target
    const TargetId* target = nullptr;  ///< target of the first attempt
    RouteShare share{};                ///< of the route
  };

  /// Records the latency of a first attempt that got a good response, or that
  /// was cancelled because its hedge had one; without the latter, the learned
  /// quantiles would fall with every hedge. `judged`: OnDelayPassed was called
  /// for it, or it was cancelled, so that it isn't known whether it would have
  /// been slow.
  void OnEnded(const Attempt& attempt, Microseconds latency, bool judged,
               MonoTime now);

  /// Records that a first attempt is still without a response after Delay.
  void OnDelayPassed(const Attempt& attempt, MonoTime now);

  /// Returns the time without a response after which a request of the route
  /// counts as slow; std::nullopt if too few responses were seen or hedging is
  /// off.
  std::optional<Microseconds> Delay(const RouteName& route,
                                    RouteShare share = {}) const;

  /// Times from the sending of a first attempt that is without a response.
  struct Delays {
    Microseconds slow{0};   ///< after which it counts as slow; see Delay
    Microseconds hedge{0};  ///< after which to ask Decide; not more than `slow`
  };

  /// What is known of a request when its first attempt is sent.
  struct Outlook {
    Microseconds time_left{0};    ///< until its latency objective; 0: none
    double relative_latency = 0;  ///< expected latency at its target, relative
                                  ///< to that of the pool; 0: unknown
  };

  /// Returns the delays of a request; std::nullopt as for Delay.
  ///
  /// The delay of the hedge is that after which the request counts as slow. If
  /// its target is expected to be slow, it is at most such that a hedge can
  /// still be expected to meet the objective. Other requests don't get this
  /// earlier hedge: on a route that often misses its objective, far more of
  /// them pass that delay than the share pays for, and most would have been in
  /// time.
  std::optional<Delays> ChooseDelays(const RouteName& route, RouteShare share,
                                     const Outlook& outlook) const;

  /// What is known of a request when its delay has passed.
  struct Candidate {
    Attempt attempt{};
    bool repeatable = false;    ///< the route allows a repetition, and all of
                                ///< the body is still available
    bool target_died = false;   ///< a target died while running it or another
                                ///< request like it
    std::uint32_t targets = 1;  ///< targets that it was sent to
    std::uint32_t max_targets = 1;      ///< attempts limit of its route
    std::size_t usable_targets = 0;     ///< of the pool
    std::size_t targets_with_room = 0;  ///< of those, with a free slot as far
                                        ///< as known
    Microseconds time_left{0};          ///< until its latency objective, or its
                                        ///< deadline if there is none
    bool early = false;                 ///< Delays::slow has not passed
    double relative_latency = 0;  ///< expected latency at the first target,
                                  ///< relative to that at the target of the
                                  ///< hedge; 0: unknown; for early hedges only
  };

  enum class Verdict : std::uint8_t {
    kAllowed,        ///< a token of each budget was taken
    kOff,            ///< hedging is off for the route, or it isn't known yet
    kUnsafe,         ///< it may not run twice, or a target died under it
    kAttempts,       ///< the attempts limit of the route is reached
    kTooLate,        ///< the copy can't be expected to meet the objective
    kNoRoom,         ///< the pool is short of room
    kPoolSlow,       ///< other targets of the pool are slow too
    kTargetNotSlow,  ///< too early for a target that isn't expected to be slow
    kShareUsedUp,    ///< the share of extra work is used up
    kRetriesUsedUp   ///< the retry budget is used up
  };

  /// Returns kUnsafe or kAttempts if the request may not have a hedge at any
  /// time, otherwise kAllowed. Uses the members from `repeatable` to
  /// `max_targets` only.
  static Verdict CheckRequest(const Candidate& candidate);

  /// Decides about a hedge. Takes tokens only with kAllowed. Includes
  /// CheckRequest.
  Verdict Decide(const Candidate& candidate, RetryBudget& retries,
                 MonoTime now);

  /// Returns the maximum number of saved hedges per pool on this host.
  double max_tokens() const { return max_tokens_; }

 private:
  class RouteLatency;
  struct Pool;

  double ShareOf(RouteShare share) const {
    return share.value_or(options_.share);
  }
  bool IsPoolSlow(const Attempt& attempt, double max_share, MonoTime now) const;
  Pool& FindPool(const PoolName& pool);

  Options options_;
  double max_tokens_ = 1;
  std::unordered_map<RouteName, RouteLatency> routes_;
  std::unordered_map<PoolName, Pool> pools_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_HEDGE_POLICY_H_
