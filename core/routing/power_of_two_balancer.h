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
#include "core/routing/latency_model.h"
#include "core/routing/outlier_detector.h"
#include "core/routing/request_sample.h"
#include "core/routing/target_stats.h"

namespace camphor {

/// Where a request goes: indices into the routing that placed it. Immutable
/// value type.
struct Placement {
  std::uint32_t pool = 0;    ///< index into routing.pools
  std::uint32_t group = 0;   ///< index into the pool's groups
  std::uint32_t target = 0;  ///< index into the group's targets

  auto operator<=>(const Placement&) const = default;
};

/// Places requests: first the target version by its share, then the better of
/// two random targets by this proxy's own evidence.
///
/// Targets of the own failure domain go first while they have room and are
/// likely to answer within the route's objective. A cold target gets its part
/// slowly. Ejected outliers get nothing, but never more of a pool is ejected
/// than its row allows. The same calls with the same seed give the same
/// placements. Choosing allocates nothing. Not thread safe.
class PowerOfTwoBalancer {
 public:
  struct Options {
    FailureDomain domain;             ///< preferred
    std::uint64_t random_seed = 1;    ///< makes choices repeatable
    Milliseconds slow_start{10'000};  ///< until a cold target has its full part
    OutlierDetector::Options outliers{};  ///< when a target is ejected
  };

  explicit PowerOfTwoBalancer(Options options);

  /// Takes a new routing; evidence of targets that stay is kept.
  void SetRouting(const EffectiveRoutingPtr& routing, MonoTime now);

  /// Chooses a target for a request of the given route. `tried` are placements
  /// that this request does not want again. Returns nothing when no target is
  /// left. @pre SetRouting was called with a routing that has the route.
  std::optional<Placement> Choose(std::uint32_t route,
                                  std::span<const Placement> tried,
                                  MonoTime now) {
    return Choose(route, 0, tried, now);
  }

  /// The same within one part of a route whose requests are divided. @pre
  /// `share` came from ChooseShare for that route.
  std::optional<Placement> Choose(std::uint32_t route, std::uint32_t share,
                                  std::span<const Placement> tried,
                                  MonoTime now);

  /// True when Choose could still give a target that was not tried. @pre as for
  /// Choose.
  bool HasUntriedTarget(std::uint32_t route, std::uint32_t share,
                        std::span<const Placement> tried, MonoTime now) const;

  /// Draws the part of the route that a request belongs to, by the weights: an
  /// index into RoutedRule::split; 0 when the route is not divided.
  std::uint32_t ChooseShare(std::uint32_t route);

  /// Counts a request as under way at the target.
  void OnSent(const TargetId& target);

  /// Where a request ran. @pre every pointer is set.
  struct Place {
    const RouteName* route = nullptr;  ///< route that it came by
    const PoolName* pool = nullptr;    ///< pool of the target
    const TargetId* target = nullptr;  ///< target that it was sent to
  };

  /// Takes a request's end as evidence.
  void OnEnded(const Place& place, RequestOutcome outcome, Microseconds latency,
               MonoTime now);

  /// Expected time of a request of the route at the target; 0 when that is not
  /// known.
  Microseconds ExpectedLatency(const RouteName& route,
                               const TargetId& target) const;

  /// Evidence of one target; null when it is not known.
  const TargetStats* FindStats(const TargetId& target) const;

  /// Evidence of each target, for the dump.
  const std::unordered_map<TargetId, TargetStats>& stats() const {
    return stats_;
  }

 private:
  struct GroupView {
    std::uint32_t group = 0;                ///< index into the pool's groups
    std::vector<std::uint32_t> own_domain;  ///< indices of targets
    std::vector<std::uint32_t> others;      ///< indices of targets
    std::vector<TargetStats*> stats;        ///< by index of target
  };
  struct PoolView {
    std::vector<GroupView> groups;
    std::size_t targets = 0;
  };

  RoutedShare ShareOf(std::uint32_t route, std::uint32_t share) const;
  std::optional<std::uint32_t> ChooseGroup(std::uint32_t route,
                                           const RoutedShare& part);
  /// What the choice of a target depends on besides the targets.
  struct Wish {
    std::span<const Placement> tried;  ///< not wanted again
    Milliseconds objective{0};         ///< of the route; 0: none
    double usual_us = 0;               ///< usual time on the route; 0: unknown
    MonoTime now{};
  };

  std::optional<Placement> ChooseTarget(const Placement& group,
                                        const Wish& wish);
  static bool MissesObjective(const TargetStats& stats, const Wish& wish);
  bool Crosses(const TargetStats& own, const TargetStats& other,
               const Wish& wish);
  static double PenalizedLatencyUs(const TargetStats& stats, double usual_us);
  std::optional<std::uint32_t> BetterOfTwo(
      const std::vector<std::uint32_t>& candidates, const Placement& group,
      const Wish& wish, bool with_room);
  double Cost(const RoutedTarget& target, const TargetStats& stats,
              const Wish& wish) const;
  bool HasRoom(const RoutedTarget& target, const TargetStats& stats,
               MonoTime now) const;
  OutlierDetector::PoolCount CountPool(const PoolName& pool,
                                       MonoTime now) const;

  Options options_;
  OutlierDetector outliers_;
  std::mt19937_64 random_;
  EffectiveRoutingPtr routing_;
  std::vector<PoolView> pools_;
  std::vector<double> new_version_credit_;  ///< by route, in requests
  std::unordered_map<RouteName, double> saved_credit_;
  std::unordered_map<TargetId, TargetStats> stats_;
  LatencyModel latency_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_POWER_OF_TWO_BALANCER_H_
