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

/// Evidence about both versions over the same period. Immutable value type.
struct EvidenceBlock {
  TargetVersion old_version;  ///< version that is currently serving
  TargetVersion new_version;  ///< version that is being rolled out
  MonoTime end{};             ///< end of the period
  std::size_t new_targets =
      0;  ///< targets of the new version that receive requests
  std::uint32_t slots = 10;           ///< concurrent requests per target
  std::vector<EvidenceCell> cells{};  ///< sorted by route, version and target
};

/// Signals on which the versions are compared.
enum class JudgeSignal : std::uint8_t {
  kFailures,  ///< errors, timeouts, target deaths and refusals
  kLatency,   ///< requests slower than about the old version's third quartile
  kTail,      ///< requests slower than about the old version's 95th percentile
};

inline constexpr std::size_t kJudgeSignals = 3;

/// Returns the signal's name for operators: "failures", "latency" or "latency
/// tail". Thread-safe.
std::string_view JudgeSignalName(JudgeSignal signal);

/// Comparison of the versions on one route and signal. Immutable value type.
struct EvidenceView {
  RouteName route;                              ///< empty for all routes pooled
  JudgeSignal signal = JudgeSignal::kFailures;  ///< signal that is counted
  std::uint64_t new_requests = 0;               ///< requests of the new version
  std::uint64_t new_bad_events = 0;             ///< of these, failed or slow
  std::uint64_t old_requests = 0;               ///< requests of the old version
  std::uint64_t old_bad_events = 0;             ///< of these, failed or slow
  double evidence = 0;  ///< evidence against the new version; 1 rolls it back

  auto operator<=>(const EvidenceView&) const = default;
};

/// Interface of the tests that detect, from a series of evidence blocks,
/// whether the new version is worse than the old one.
///
/// Reads no clock: time is part of the blocks. Not thread-safe.
class VersionJudge {
 public:
  VersionJudge() = default;
  VersionJudge(const VersionJudge&) = delete;
  VersionJudge& operator=(const VersionJudge&) = delete;
  virtual ~VersionJudge() = default;

  /// Adds the next block. @pre block.end is not before that of the last block.
  virtual void AddBlock(const EvidenceBlock& block) = 0;

  /// Removes the evidence of a target whose host died, since its results may be
  /// due to the host and not to the version.
  virtual void ForgetTarget(const TargetId& target) = 0;

  /// Returns the comparison for each route and signal, in a fixed order.
  virtual std::vector<EvidenceView> View() const = 0;

  /// Returns the strongest evidence against the new version, as a fraction of
  /// the rollback threshold.
  virtual double evidence() const = 0;

  /// Returns the route and signal with the strongest evidence against the new
  /// version.
  RolloutReason StrongestReason() const;

  /// Returns the reason to roll back, or std::nullopt if the evidence is below
  /// the rollback threshold.
  std::optional<RolloutReason> RejectionReason() const;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_VERSION_JUDGE_H_
