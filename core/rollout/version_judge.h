#ifndef CAMPHORHILL_CORE_ROLLOUT_VERSION_JUDGE_H_
#define CAMPHORHILL_CORE_ROLLOUT_VERSION_JUDGE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "core/replication/rollout_record.h"
#include "core/rollout/evidence_report.h"

namespace camphor {

/// What both versions did over one and the same period. Immutable value type.
struct EvidenceBlock {
  TargetVersion old_version;  ///< version that serves
  TargetVersion new_version;  ///< version that is to take over
  MonoTime end{};             ///< end of the period
  std::size_t new_targets =
      0;                     ///< targets of the new version that get requests
  std::uint32_t slots = 10;  ///< requests that one target runs at a time
  std::vector<EvidenceCell> cells{};  ///< sorted by route, version and target
};

/// What a judge looks at.
enum class JudgeSignal : std::uint8_t {
  kFailures,  ///< errors, timeouts, deaths and refusals
  kLatency,   ///< requests slower than about the old version's third quartile
  kTail,      ///< requests slower than about the old version's 95th percentile
};

inline constexpr std::size_t kJudgeSignals = 3;

/// The name that operators read: "failures", "latency" or "latency tail".
/// Thread safety: any thread.
std::string_view JudgeSignalName(JudgeSignal signal);

/// How the versions compare on one route and signal. Immutable value type.
struct EvidenceView {
  RouteName route;  ///< empty for all routes together
  JudgeSignal signal = JudgeSignal::kFailures;  ///< what is counted
  std::uint64_t new_requests = 0;               ///< requests of the new version
  std::uint64_t new_bad_events = 0;             ///< of these: failed, or slow
  std::uint64_t old_requests = 0;               ///< requests of the old version
  std::uint64_t old_bad_events = 0;             ///< of these: failed, or slow
  double evidence = 0;  ///< against the new version; 1 is enough to roll back

  auto operator<=>(const EvidenceView&) const = default;
};

/// Decides from a run of blocks whether the new version is worse than the old.
///
/// Pure: time comes with the blocks. Not thread safe.
class VersionJudge {
 public:
  VersionJudge() = default;
  VersionJudge(const VersionJudge&) = delete;
  VersionJudge& operator=(const VersionJudge&) = delete;
  virtual ~VersionJudge() = default;

  /// Takes the next block. @pre its end is not before that of the last one.
  virtual void AddBlock(const EvidenceBlock& block) = 0;

  /// A target's host died: what the target did is no word on its version.
  virtual void ForgetTarget(const TargetId& target) = 0;

  /// How the versions compare, on each route and signal, in a fixed order.
  virtual std::vector<EvidenceView> View() const = 0;

  /// The strongest evidence against the new version; 1 is enough to roll back.
  virtual double evidence() const = 0;

  /// What speaks most against the new version.
  RolloutReason Strongest() const;

  /// Why the new version is to be rolled back, once the evidence suffices.
  std::optional<RolloutReason> Condemnation() const;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_VERSION_JUDGE_H_
