#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_KIND_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_KIND_H_

#include <cstdint>
#include <string>
#include <vector>

namespace camphor {

/// Condition under which the defect of a bad version shows.
enum class DefectTrigger : std::uint8_t {
  kAtOnce,     ///< from its first request
  kLater,      ///< after some minutes
  kInBake,     ///< after some time at full share
  kUnderLoad,  ///< while a target has about its normal load
  kOneRoute,   ///< on one of the common routes
  kRareRoute,  ///< on the rarest route
};

/// Disturbance that is not the new version's fault.
enum class Confounder : std::uint8_t {
  kNone,
  kColdStart,       ///< long cold starts
  kSharedErrors,    ///< a shared dependency fails for both versions
  kSharedSlowness,  ///< a shared dependency is slow for both versions
  kLoadSwings,      ///< load rises and falls
  kHostsDie,        ///< hosts of both versions die and come back
  kFewRequests,     ///< the pool has few requests
  kNoisyLatency,    ///< latency varies more than usual
  kLyingHealth,     ///< health endpoints are wrong; the model has none
  kBadHost,         ///< one host is faulty, whatever version it runs
};

/// A kind of rollout to simulate.
struct RolloutKind {
  std::string name;    ///< name in the output
  bool bad = false;    ///< the new version has a defect
  bool gross = false;  ///< the defect is gross, otherwise mild
  bool fails = false;  ///< the defect causes failures, otherwise slowness
  DefectTrigger trigger =
      DefectTrigger::kAtOnce;  ///< when the defect of a bad version shows
  Confounder confounder = Confounder::kNone;  ///< disturbance of a good version
};

/// All kinds: good ones, then bad ones. Thread-safe.
const std::vector<RolloutKind>& AllKinds();

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_KIND_H_
