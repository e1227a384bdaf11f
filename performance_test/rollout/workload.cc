#include "performance_test/rollout/workload.h"

#include <algorithm>
#include <boost/json.hpp>
#include <numeric>

#include "performance_test/rollout/rollout_kind.h"

namespace camphor {
namespace {

constexpr double kMaxValue = 1e6;

void Read(JsonFields& fields, std::string_view key, double& value,
          double min = 0, double max = kMaxValue) {
  value = fields.Number(key, min, max, value);
}

void Read(JsonFields& fields, std::string_view key, int& value, int min,
          int max) {
  value = static_cast<int>(fields.Integer(key, min, max, value));
}

RouteWorkload ReadRoute(JsonFields& fields) {
  RouteWorkload route;
  route.name = fields.String("name");
  Read(fields, "share", route.share, 1e-6);
  Read(fields, "latency_ms", route.latency_ms, 0.01);
  Read(fields, "spread", route.spread, 0.01, 3);
  Read(fields, "error_rate", route.error_rate, 0, 1);
  return route;
}

void ReadNoise(JsonFields& fields, NoiseParameters& noise) {
  Read(fields, "error_drift", noise.error_drift, 0, 3);
  Read(fields, "drift_s", noise.drift_s, 1);
  Read(fields, "latency_drift", noise.latency_drift, 0, 3);
  Read(fields, "target_speed", noise.target_speed, 0, 1);
  Read(fields, "target_errors", noise.target_errors, 0, 3);
  Read(fields, "bursts_per_hour", noise.bursts_per_hour);
  Read(fields, "burst_s", noise.burst_s);
  Read(fields, "burst_errors", noise.burst_errors, 0, 1);
  Read(fields, "burst_slowdown", noise.burst_slowdown, 1, 1000);
  Read(fields, "cold_start_s", noise.cold_start_s, 0.1);
  Read(fields, "cold_slowdown", noise.cold_slowdown, 1, 1000);
  Read(fields, "cold_errors", noise.cold_errors, 0, 1);
}

void ReadBadVersion(JsonFields& fields, BadVersionParameters& bad) {
  Read(fields, "gross_failure", bad.gross_failure, 0, 1);
  Read(fields, "gross_slowdown", bad.gross_slowdown, 1, 1000);
  Read(fields, "mild_failure", bad.mild_failure, 0, 1);
  Read(fields, "mild_slowdown", bad.mild_slowdown, 1, 1000);
  Read(fields, "load_threshold", bad.load_threshold, 0, 10);
}

void ReadConfounder(JsonFields& fields, ConfounderParameters& confounder) {
  Read(fields, "cold_start_s", confounder.cold_start_s, 0.1);
  Read(fields, "cold_slowdown", confounder.cold_slowdown, 1, 1000);
  Read(fields, "cold_errors", confounder.cold_errors, 0, 1);
  Read(fields, "shared_errors", confounder.shared_errors, 0, 1);
  Read(fields, "shared_slowdown", confounder.shared_slowdown, 1, 1000);
  Read(fields, "shared_s", confounder.shared_s);
  Read(fields, "load_swing", confounder.load_swing, 1, 100);
  Read(fields, "deaths", confounder.deaths, 0, 100);
  Read(fields, "detect_s", confounder.detect_s);
  Read(fields, "restart_s", confounder.restart_s);
  Read(fields, "few_requests", confounder.few_requests, 0.0001, 1);
  Read(fields, "noise_factor", confounder.noise_factor, 1, 100);
  Read(fields, "bad_host_errors", confounder.bad_host_errors, 0, 1);
  Read(fields, "bad_host_slowdown", confounder.bad_host_slowdown, 1, 1000);
  Read(fields, "with_bad", confounder.with_bad, 0, 1);
}

void CheckKinds(JsonFields& fields, const std::vector<std::string>& kinds) {
  for (const std::string& kind : kinds) {
    const bool known =
        std::ranges::any_of(AllKinds(), [&kind](const RolloutKind& candidate) {
          return candidate.name == kind;
        });
    if (!known) fields.Report("kinds", "has the unknown kind " + kind);
  }
}

}  // namespace

std::optional<Workload> Workload::Parse(std::string_view text,
                                        std::vector<FieldError>& errors) {
  std::string reason;
  const auto document = ParseJsonWithComments(text, reason);
  if (!document || !document->is_object()) {
    errors.push_back({.field = "(document)",
                      .message = document ? "must be an object" : reason});
    return std::nullopt;
  }
  Workload workload;
  JsonFields fields(document->get_object(), "", errors);
  workload.name = fields.String("name", workload.name);
  Read(fields, "request_rate", workload.request_rate, 0.01);
  Read(fields, "old_targets", workload.old_targets, 1, 1000);
  Read(fields, "new_targets", workload.new_targets, 1, 1000);
  Read(fields, "slots", workload.slots, 1, 1000);
  Read(fields, "queue", workload.queue, 0, 10'000);
  Read(fields, "time_allowed_s", workload.time_allowed_s, 1);
  Read(fields, "outcome_within_s", workload.outcome_within_s);
  if (workload.outcome_within_s > 0)
    workload.time_allowed_s = workload.outcome_within_s;
  Read(fields, "step_s", workload.step_s, 0.05, 60);
  Read(fields, "bake_s", workload.bake_s, 0, 1'000'000);
  std::vector<RouteWorkload> routes;
  fields.Objects("routes", [&routes](JsonFields& row) {
    routes.push_back(ReadRoute(row));
  });
  if (!routes.empty()) workload.routes = std::move(routes);
  fields.Object("noise",
                [&](JsonFields& part) { ReadNoise(part, workload.noise); });
  fields.Object("bad",
                [&](JsonFields& part) { ReadBadVersion(part, workload.bad); });
  fields.Object("confounder", [&](JsonFields& part) {
    ReadConfounder(part, workload.confounder);
  });
  workload.kinds = fields.Strings("kinds");
  CheckKinds(fields, workload.kinds);
  fields.Finish();
  if (!errors.empty()) return std::nullopt;

  // The shares are relative weights; normalises them to a sum of 1.
  const double total = std::accumulate(
      workload.routes.begin(), workload.routes.end(), 0.0,
      [](double sum, const RouteWorkload& route) { return sum + route.share; });
  for (RouteWorkload& route : workload.routes) route.share /= total;
  return workload;
}

}  // namespace camphor
