#include "core/rollout/version_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace camphor {
namespace {

double PercentOf(std::uint64_t hits, std::uint64_t requests) {
  if (requests == 0) return 0;
  return 100.0 * static_cast<double>(hits) / static_cast<double>(requests);
}

std::string SentenceOf(const EvidenceView& view) {
  const std::string where = view.route.empty() ? std::string("all routes")
                                               : "route " + view.route.value();
  const std::string_view what =
      view.signal == JudgeSignal::kFailures ? "failed" : "were slow";
  return fmt::format(
      "on {}, {:.2f}% of {} requests {} at the new version, against {:.2f}% of "
      "{} at the old one over the same time",
      where, PercentOf(view.new_bad_events, view.new_requests),
      view.new_requests, what,
      PercentOf(view.old_bad_events, view.old_requests), view.old_requests);
}

}  // namespace

std::string_view JudgeSignalName(JudgeSignal signal) {
  switch (signal) {
    case JudgeSignal::kFailures:
      return "failures";
    case JudgeSignal::kLatency:
      return "latency";
    case JudgeSignal::kTail:
      return "latency tail";
  }
  return "unknown";
}

RolloutReason VersionJudge::Strongest() const {
  const std::vector<EvidenceView> views = View();
  const auto strength = [](const EvidenceView& view) {
    // A route that alone explains most of it says more than all routes.
    constexpr double kRouteWeight = 1.4;
    return view.evidence * (view.route.empty() ? 1 : kRouteWeight);
  };
  const auto worst = std::ranges::max_element(views, {}, strength);
  if (worst == views.end()) return {};
  return {.signal = std::string(JudgeSignalName(worst->signal)),
          .route = worst->route,
          .new_requests = worst->new_requests,
          .old_requests = worst->old_requests,
          .sentence = SentenceOf(*worst)};
}

std::optional<RolloutReason> VersionJudge::Condemnation() const {
  if (evidence() < 1) return std::nullopt;
  return Strongest();
}

}  // namespace camphor
