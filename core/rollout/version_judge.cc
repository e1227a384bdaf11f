#include "core/rollout/version_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace camphor {
namespace {

double Percentage(std::uint64_t bad_events, std::uint64_t requests) {
  if (requests == 0) return 0;
  return 100.0 * static_cast<double>(bad_events) /
         static_cast<double>(requests);
}

std::string FormatSentence(const EvidenceView& view) {
  const std::string where = view.route.empty() ? std::string("all routes")
                                               : "route " + view.route.value();
  const std::string_view result =
      view.signal == JudgeSignal::kFailures ? "failed" : "were slow";
  return fmt::format(
      "on {}, {:.2f}% of {} requests {} at the new version, against {:.2f}% of "
      "{} at the old one over the same time",
      where, Percentage(view.new_bad_events, view.new_requests),
      view.new_requests, result,
      Percentage(view.old_bad_events, view.old_requests), view.old_requests);
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

RolloutReason VersionJudge::StrongestReason() const {
  const std::vector<EvidenceView> views = View();
  const auto strength = [](const EvidenceView& view) {
    // Prefer a single route that explains most of the evidence over the pooled
    // one, as it is more specific.
    constexpr double kRouteWeight = 1.4;
    return view.evidence * (view.route.empty() ? 1 : kRouteWeight);
  };
  const auto worst = std::ranges::max_element(views, {}, strength);
  if (worst == views.end()) return {};
  return {.signal = std::string(JudgeSignalName(worst->signal)),
          .route = worst->route,
          .new_requests = worst->new_requests,
          .old_requests = worst->old_requests,
          .sentence = FormatSentence(*worst)};
}

std::optional<RolloutReason> VersionJudge::RejectionReason() const {
  if (evidence() < 1) return std::nullopt;
  return StrongestReason();
}

}  // namespace camphor
