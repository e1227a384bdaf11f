#ifndef CAMPHORHILL_CORE_ROUTING_POWER_OF_TWO_BALANCER_H_
#define CAMPHORHILL_CORE_ROUTING_POWER_OF_TWO_BALANCER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"
#include "core/routing/effective_routing.h"
#include "core/routing/finish_model.h"
#include "core/routing/latency_model.h"
#include "core/routing/load_report.h"
#include "core/routing/outlier_detector.h"
#include "core/routing/request_sample.h"
#include "core/routing/target_stats.h"

namespace camphor {

/// Target chosen for a request, as indices into the routing that was used.
/// Immutable value type.
struct Placement {
  std::uint32_t pool = 0;    ///< index into routing.pools
  std::uint32_t group = 0;   ///< index into the pool's groups
  std::uint32_t target = 0;  ///< index into the group's targets

  auto operator<=>(const Placement&) const = default;
};

/// Why a target gets no request, or only if no other target is left.
enum class TargetExclusion : std::uint8_t {
  kLeaving,  ///< it said that it is leaving; gets no request
  kEjected,  ///< ejected as an outlier; gets no request
  kCold,     ///< cold, and this proxy's share of its rate is used up
  kFull,     ///< refused a request recently, or this proxy uses all its slots
};

/// One comparison of two random targets, recorded for a preview.
struct ChoiceDraw {
  Placement first{};                  ///< drawn first
  std::optional<Placement> second{};  ///< drawn second; std::nullopt: no other
                                      ///< target could be drawn
  Placement better{};                 ///< the one with the lower cost
  bool own_domain = false;     ///< drawn from the preferred failure domain
  bool with_capacity = false;  ///< drawn from targets with capacity only
};

/// Power-of-two-choices load balancer. Chooses the target version by its
/// traffic share, then the better of two random targets, based on the
/// statistics of this proxy.
///
/// While the hosts of targets report their load (OnReport), targets are drawn
/// in proportion to their speed, and the one of the two with the earlier
/// expected end is chosen. Without reports, own statistics decide alone.
///
/// Prefers targets of the local failure domain while they have capacity and are
/// likely to meet the latency objective of the route. Newly announced targets
/// get a reduced share at first (slow start). Cold targets of a pool with a
/// cold rate count as full beyond this proxy's share of that rate. Targets of a
/// failure domain whose evacuation ended get back the requests of their own
/// domain gradually. Ejected outliers get no requests; the share of a pool that
/// may be ejected is limited by its configuration.
/// Deterministic for the same calls and seed. Choosing does not allocate. Not
/// thread-safe.
class PowerOfTwoBalancer {
 public:
  struct Options {
    FailureDomain domain;                 ///< local failure domain, preferred
    std::uint64_t random_seed = 1;        ///< makes choices reproducible
    Milliseconds slow_start{10'000};      ///< duration of the slow start
    OutlierDetector::Options outliers{};  ///< outlier ejection
  };

  explicit PowerOfTwoBalancer(Options options);

  /// Copies the complete state, including that of the random engine, so that a
  /// preview can make the next choices without changing the original. The cost
  /// grows with the number of targets.
  PowerOfTwoBalancer(const PowerOfTwoBalancer& other);
  PowerOfTwoBalancer& operator=(const PowerOfTwoBalancer&) = delete;

  /// Replaces the routing. Statistics of targets that it still contains are
  /// kept.
  void SetRouting(const EffectiveRoutingPtr& routing, MonoTime now);

  /// Chooses a target for a request of the given route, other than the
  /// placements in `tried`. Returns std::nullopt if no target is left.
  /// @pre SetRouting was called with a routing that contains the route.
  std::optional<Placement> Choose(std::uint32_t route,
                                  std::span<const Placement> tried,
                                  MonoTime now) {
    return Choose(route, 0, tried, now);
  }

  /// As above, for one share of a route that splits its requests.
  /// Appends its comparisons to `draws`, unless that is null.
  /// @pre `share` was returned by ChooseShare for the route.
  std::optional<Placement> Choose(std::uint32_t route, std::uint32_t share,
                                  std::span<const Placement> tried,
                                  MonoTime now,
                                  std::vector<ChoiceDraw>* draws = nullptr);

  /// A target of the pool of a route, as Choose sees it.
  struct Candidate {
    Placement placement{};                       ///< the target
    std::optional<TargetExclusion> exclusion{};  ///< std::nullopt: none
    std::optional<Microseconds> expected{};  ///< expected time to the end of a
                                             ///< new request; std::nullopt:
                                             ///< nothing was measured
    std::optional<double> speed{};  ///< relative to the pool, 1 is the mean;
                                    ///< std::nullopt: no recent report
    TargetStats stats{};            ///< statistics of this proxy
  };

  /// Returns the targets of the pool of a route in all its groups, for a
  /// preview. Same preconditions as Choose.
  std::vector<Candidate> Candidates(std::uint32_t route, std::uint32_t share,
                                    MonoTime now) const;

  /// Returns true if Choose could still return a target that was not tried.
  /// Same preconditions as Choose.
  bool HasUntriedTarget(std::uint32_t route, std::uint32_t share,
                        std::span<const Placement> tried, MonoTime now) const;

  /// Targets of the pool of a route.
  struct PoolRoom {
    std::size_t usable = 0;     ///< neither ejected nor leaving
    std::size_t with_room = 0;  ///< of those, warm and with a free slot as far
                                ///< as known from own requests and reports
  };

  /// Counts the targets that could take a hedge. Same preconditions as Choose.
  PoolRoom CountRoom(std::uint32_t route, std::uint32_t share,
                     MonoTime now) const;

  /// As Choose, but returns only a target that CountRoom counts as one with
  /// room.
  std::optional<Placement> ChooseWithRoom(std::uint32_t route,
                                          std::uint32_t share,
                                          std::span<const Placement> tried,
                                          MonoTime now);

  /// Assigns a request to one of the weighted pools of the route at random.
  /// Returns an index into RoutedRule::split; 0 if the route has no split.
  std::uint32_t ChooseShare(std::uint32_t route);

  /// Excludes a target that says that it is leaving, until the routing has lost
  /// it.
  void OnLeaving(const TargetId& target);

  /// Counts a request as in flight at the target.
  void OnSent(const TargetId& target);

  /// Returns the rate of this proxy's requests that the cold targets of the
  /// route's pool tolerate together, per second; 0 if it has none.
  double ColdShare(std::uint32_t route, std::uint32_t share) const;

  /// Route, pool and target of a request. No pointer may be null.
  struct RequestInfo {
    const RouteName* route = nullptr;  ///< route of the request
    const PoolName* pool = nullptr;    ///< pool of the target
    const TargetId* target = nullptr;  ///< target that the request was sent to
  };

  /// Updates the statistics with the result of a request.
  void OnEnded(const RequestInfo& request, RequestOutcome outcome,
               Microseconds latency, MonoTime now);

  /// Takes over the report of a target's host, which came with the response to
  /// a request of the route.
  void OnReport(const RouteName& route, const TargetId& target,
                const LoadReport& report, MonoTime now);

  /// Returns the expected latency of a request of the route at the target; 0 if
  /// unknown.
  Microseconds ExpectedLatency(const RouteName& route,
                               const TargetId& target) const;

  /// Returns the expected latency at the target, relative to the other targets
  /// of its pool: its speed if its host reported it recently, otherwise as
  /// observed by this proxy in at least 20 responses; 1 if unknown.
  double RelativeLatency(const TargetId& target, MonoTime now) const;

  /// Returns the statistics of a target; null if the target is unknown.
  const TargetStats* FindStats(const TargetId& target) const;

  /// Returns the statistics of all targets, for the state dump.
  const std::unordered_map<TargetId, TargetStats>& stats() const {
    return stats_;
  }

 private:
  struct GroupView {
    std::uint32_t group = 0;                  ///< index into the pool's groups
    std::vector<std::uint32_t> local_domain;  ///< target indices
    std::vector<std::uint32_t> others;        ///< target indices
    std::vector<TargetStats*> stats;          ///< by target index
  };
  struct PoolView {
    std::vector<GroupView> groups;
    std::size_t targets = 0;
  };

  RoutedShare GetShare(std::uint32_t route, std::uint32_t share) const;
  std::optional<std::uint32_t> ChooseGroup(std::uint32_t route,
                                           const RoutedShare& part);
  /// Request-specific inputs of the choice of a target.
  struct ChoiceParams {
    std::span<const Placement> tried;  ///< placements to exclude
    Milliseconds objective{0};         ///< latency objective; 0: none
    double typical_us = 0;             ///< of the route; 0: unknown
    double service_us = 0;  ///< mean service time of the route as reported; 0:
                            ///< no recent report, own statistics decide
    MonoTime now{};
    std::vector<ChoiceDraw>* draws = nullptr;  ///< receives the comparisons of
                                               ///< a preview; null: none
  };

  void BuildViews();
  ChoiceParams MakeParams(std::uint32_t route, std::span<const Placement> tried,
                          MonoTime now) const;
  std::optional<Placement> ChooseTarget(const Placement& group,
                                        const ChoiceParams& params);
  std::optional<Placement> ChoosePlacement(std::uint32_t route,
                                           const RoutedShare& part,
                                           const ChoiceParams& params);
  static bool MissesObjective(const RoutedTarget& target,
                              const TargetStats& stats,
                              const ChoiceParams& params);
  bool ShouldCrossDomain(double own_us, double other_us, bool reported);
  static double ExpectedUs(const RoutedTarget& target, const TargetStats& stats,
                           const ChoiceParams& params);
  std::size_t DrawBySpeed(const std::vector<std::uint32_t>& candidates,
                          const GroupView& view, const ChoiceParams& params);
  static double PenalizedLatencyUs(const TargetStats& stats, double typical_us);
  std::optional<std::uint32_t> ChooseBetterOfTwo(
      const std::vector<std::uint32_t>& candidates, const Placement& group,
      const ChoiceParams& params, bool require_capacity);
  double SlowStartFactor(const TargetStats& stats, MonoTime now) const;
  void UpdateStats(const EffectiveRouting* previous, MonoTime now);
  double Cost(const RoutedTarget& target, const TargetStats& stats,
              const ChoiceParams& params) const;
  static std::optional<TargetExclusion> FindExclusion(
      const RoutedTarget& target, const TargetStats& stats, MonoTime now);
  bool HasRoom(const RoutedTarget& target, const TargetStats& stats,
               MonoTime now) const;
  OutlierDetector::PoolCount CountPool(const PoolName& pool,
                                       MonoTime now) const;

  Options options_;
  OutlierDetector outliers_;
  std::mt19937_64 random_;
  EffectiveRoutingPtr routing_;
  std::vector<PoolView> pools_;
  std::vector<double> new_version_credit_;  ///< by route index, in requests
  std::unordered_map<RouteName, double> saved_credit_;
  std::unordered_map<TargetId, TargetStats> stats_;
  LatencyModel latency_;
  FinishModel finish_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_POWER_OF_TWO_BALANCER_H_
