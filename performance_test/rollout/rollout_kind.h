#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_KIND_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_KIND_H_

#include <cstdint>
#include <string>
#include <vector>

namespace camphor {

/// When or where a bad version is bad.
enum class BadWhen : std::uint8_t {
  kAtOnce,     ///< from its first request
  kLater,      ///< from some minutes on
  kInBake,     ///< from some time at full share on
  kUnderLoad,  ///< while a target meets about its normal load
  kOneRoute,   ///< on one of the common routes
  kRareRoute,  ///< on the rarest route
};

/// What a good version goes through.
enum class Confounder : std::uint8_t {
  kNone,
  kColdStart,       ///< long cold starts
  kSharedErrors,    ///< a shared dependency fails for both versions
  kSharedSlowness,  ///< a shared dependency is slow for both versions
  kLoadSwings,      ///< load rises and falls
  kHostsDie,        ///< hosts of both versions die and come back
  kFewRequests,     ///< the pool has few requests
  kNoisyLatency,    ///< latency is noisier than usual
  kLyingHealth,     ///< health endpoints lie; nothing here reads them
  kBadHost,         ///< one host is bad, whatever it runs
};

/// One kind of rollout that is tried.
struct RolloutKind {
  std::string name;                 ///< for the table
  bool bad = false;                 ///< the version is bad
  bool gross = false;               ///< it is grossly so
  bool fails = false;               ///< it fails; otherwise it is slow
  BadWhen when = BadWhen::kAtOnce;  ///< of a bad version
  Confounder confounder = Confounder::kNone;  ///< of a good version
};

/// All kinds: good ones, then bad ones. Thread safety: any thread.
const std::vector<RolloutKind>& AllKinds();

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_KIND_H_
