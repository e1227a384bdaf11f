#include "core/rollout/rollout_view.h"

#include <boost/json.hpp>
#include <cmath>

#include "core/base/wall_time_text.h"

namespace camphor {
namespace {

constexpr double kPartsPerMillion = 1e6;

double RoundToThousandths(double value) {
  return std::round(value * 1000) / 1000;
}

}  // namespace

std::string_view RolloutStageName(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kPending:
      return "pending";
    case RolloutStage::kCanary:
      return "canary";
    case RolloutStage::kRamp:
      return "ramp";
    case RolloutStage::kBake:
      return "bake";
    case RolloutStage::kDone:
      return "done";
    case RolloutStage::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

boost::json::object RecordToJson(const RolloutRecord& record) {
  boost::json::object view;
  view["id"] = record.id.value();
  view["stage"] = std::string(RolloutStageName(record.stage));
  view["share"] = record.share_ppm / kPartsPerMillion;
  view["canary_targets"] = record.canary_targets;
  boost::json::object routes;
  for (const RouteShare& route : record.route_shares) {
    routes[route.route.value()] = route.share_ppm / kPartsPerMillion;
  }
  view["route_shares"] = std::move(routes);
  view["stage_since"] = FormatWallTime(record.stage_since);
  view["hurry"] = record.hurry;
  view["recorded"] = record.recorded;
  view["reason"] = {{"signal", record.reason.signal},
                    {"route", record.reason.route.value()},
                    {"new_requests", record.reason.new_requests},
                    {"old_requests", record.reason.old_requests},
                    {"sentence", record.reason.sentence}};
  return view;
}

boost::json::array EvidenceToJson(const std::vector<EvidenceView>& views) {
  boost::json::array rows;
  for (const EvidenceView& view : views) {
    if (view.new_requests + view.old_requests == 0) continue;
    const bool failures = view.signal == JudgeSignal::kFailures;
    rows.push_back({{"route", view.route.empty() ? std::string("(all)")
                                                 : view.route.value()},
                    {"signal", std::string(JudgeSignalName(view.signal))},
                    {"counted", failures ? "failed" : "slow"},
                    {"new_requests", view.new_requests},
                    {"new_hits", view.new_bad_events},
                    {"old_requests", view.old_requests},
                    {"old_hits", view.old_bad_events},
                    {"evidence", RoundToThousandths(view.evidence)}});
  }
  return rows;
}

}  // namespace camphor
