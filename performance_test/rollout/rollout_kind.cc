#include "performance_test/rollout/rollout_kind.h"

#include <utility>

namespace camphor {
namespace {

std::vector<RolloutKind> MakeKinds() {
  std::vector<RolloutKind> kinds;
  for (const auto& [name, confounder] :
       {std::pair("good_steady", Confounder::kNone),
        std::pair("good_cold_start", Confounder::kColdStart),
        std::pair("good_shared_errors", Confounder::kSharedErrors),
        std::pair("good_shared_slowness", Confounder::kSharedSlowness),
        std::pair("good_load_swings", Confounder::kLoadSwings),
        std::pair("good_hosts_die", Confounder::kHostsDie),
        std::pair("good_few_requests", Confounder::kFewRequests),
        std::pair("good_noisy_latency", Confounder::kNoisyLatency),
        std::pair("good_lying_health", Confounder::kLyingHealth),
        std::pair("good_bad_host", Confounder::kBadHost)}) {
    kinds.push_back({.name = name, .confounder = confounder});
  }
  for (const bool gross : {true, false}) {
    for (const bool fails : {true, false}) {
      for (const auto& [name, trigger] :
           {std::pair("at_once", DefectTrigger::kAtOnce),
            std::pair("later", DefectTrigger::kLater),
            std::pair("in_bake", DefectTrigger::kInBake),
            std::pair("under_load", DefectTrigger::kUnderLoad),
            std::pair("one_route", DefectTrigger::kOneRoute),
            std::pair("rare_route", DefectTrigger::kRareRoute)}) {
        kinds.push_back({.name = std::string(gross ? "gross" : "mild") +
                                 (fails ? "_fail_" : "_slow_") + name,
                         .bad = true,
                         .gross = gross,
                         .fails = fails,
                         .trigger = trigger});
      }
    }
  }
  return kinds;
}

}  // namespace

const std::vector<RolloutKind>& AllKinds() {
  static const std::vector<RolloutKind> kinds = MakeKinds();
  return kinds;
}

}  // namespace camphor
