#include "performance_test/rollout/process_trial.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "core/base/json_fields.h"
#include "core/base/wall_time_text.h"
#include "harness/fleet.h"
#include "harness/load/request_load.h"

namespace camphor {
namespace {

constexpr int kHosts = 4;
constexpr Seconds kOutcomeGrace{60};

WallTime WallNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
}

std::string MakeTables(const std::string& rollout) {
  return fmt::format(
      R"({{"routes": [
        {{"name": "get", "path_prefix": "/get", "pool": "p", "repeatable": true}},
        {{"name": "put", "path_prefix": "/put", "pool": "p"}}],
      "pools": [{{"name": "p", "version": "v1"{}}}]}})",
      rollout);
}

/// Returns the first rollout in a response of /v1/rollouts, if there is one.
std::optional<boost::json::object> FirstRollout(const std::string& body) {
  std::string reason;
  const auto document = ParseJsonWithComments(body, reason);
  if (!document) return std::nullopt;
  const boost::json::value* list = &*document;
  if (list->is_object()) list = list->as_object().if_contains("rollouts");
  if (list == nullptr || !list->is_array() || list->as_array().empty()) {
    return std::nullopt;
  }
  return list->as_array().front().as_object();
}

std::string StringField(const boost::json::object& object,
                        std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->as_string());
}

bool StartFleet(Fleet& fleet, const ProcessTrialOptions& options) {
  if (!fleet.StartPlatform() || !fleet.StartHosts(kHosts)) return false;
  if (!fleet.Apply("h1", MakeTables(""))) return false;
  for (int host = 1; host <= kHosts; ++host) {
    for (const std::string version : {"v1", "v2"}) {
      const std::string id = fmt::format("t{}-{}", host, version);
      if (!fleet.StartTarget({.host = fmt::format("h{}", host),
                              .id = id,
                              .pool = "p",
                              .version = version})) {
        return false;
      }
      const bool faulty =
          version == "v2" && (!options.faults_on_one_target || host == 1);
      if (faulty && !options.faults.empty() &&
          !fleet.ControlTarget(id, options.faults)) {
        return false;
      }
    }
  }
  return fleet.AwaitTarget(fmt::format("t{}-v2", kHosts), true, Seconds(10));
}

/// Polls the rollout until it ends or times out and fills in the result.
void WaitForOutcome(Fleet& fleet, const ProcessTrialOptions& options,
                    WallTime ordered, ProcessTrialResult& result) {
  AdminClient admin = fleet.Admin("h1");
  WaitUntil(options.time_allowed + options.bake + kOutcomeGrace, [&] {
    const std::optional<std::string> body = admin.Get("/v1/rollouts");
    const auto rollout = body ? FirstRollout(*body) : std::nullopt;
    if (!rollout) return false;
    const WallTime now = WallNow();
    result.stage = StringField(*rollout, "stage");
    if (const auto* reason = rollout->if_contains("reason")) {
      result.sentence = StringField(reason->as_object(), "sentence");
    }
    const bool full = result.stage == "bake" || result.stage == "done";
    if (full && now <= ordered + options.time_allowed) {
      result.full_in_time = true;
    }
    result.seconds = std::chrono::duration<double>(now - ordered).count();
    return result.stage == "done" || result.stage == "rolled_back";
  });
}

}  // namespace

ProcessTrialResult RunProcessTrial(const ProcessTrialOptions& options) {
  ProcessTrialResult result;
  Fleet fleet({.hosts = kHosts});
  if (!StartFleet(fleet, options)) {
    result.sentence = fleet.last_reason();
    return result;
  }
  std::vector<std::unique_ptr<RequestLoad>> loads;
  for (const std::string path : {"get", "put"}) {
    RequestLoad::Options load{.name = options.name + "-" + path,
                              .path = "/" + path};
    for (int host = 1; host <= kHosts; ++host) {
      const std::string name = fmt::format("h{}", host);
      load.hosts[name] = fleet.caller(name);
    }
    loads.push_back(std::make_unique<RequestLoad>(load));
    loads.back()->Start();
  }
  const WallTime ordered = WallNow();
  const std::string rollout = fmt::format(
      R"(, "rollout": {{"version": "v2", "complete_by": "{}", "bake_s": {}}})",
      FormatWallTime(ordered + options.time_allowed), options.bake.count());
  result.ran = fleet.Apply("h2", MakeTables(rollout)).has_value();
  if (result.ran) {
    WaitForOutcome(fleet, options, ordered, result);
  } else {
    result.sentence = fleet.last_reason();
  }
  for (const auto& load : loads) load->Stop();
  return result;
}

}  // namespace camphor
