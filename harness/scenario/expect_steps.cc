// Scenario steps that check expectations on the fleet.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

#include "harness/scenario/scenario_run.h"

namespace camphor {
namespace {

constexpr std::uint64_t kPercentScale = 100;

// Stage of the rollout of the pool as reported by the node; empty if none.
std::string ReadStage(AdminClient& client, const std::string& pool) {
  const auto body = client.Get("/v1/rollouts");
  boost::json::error_code error;
  const boost::json::value document =
      boost::json::parse(body.value_or("{}"), error);
  if (error || !document.is_object()) return "";
  const boost::json::value* rows =
      document.get_object().if_contains("rollouts");
  if (rows == nullptr || !rows->is_array()) return "";
  for (const boost::json::value& row : rows->get_array()) {
    if (row.at("pool").as_string() == pool)
      return std::string(row.at("stage").as_string());
  }
  return "";
}

// Status of another host as reported by the node; empty if not listed.
std::string ReadStatus(AdminClient& client, const std::string& host) {
  const auto body = client.Get("/v1/hosts");
  boost::json::error_code error;
  const boost::json::value document =
      boost::json::parse(body.value_or("{}"), error);
  if (error || !document.is_object()) return "";
  const boost::json::value* rows = document.get_object().if_contains("hosts");
  if (rows == nullptr || !rows->is_array()) return "";
  for (const boost::json::value& row : rows->get_array()) {
    if (row.at("host").as_string() == host)
      return std::string(row.at("status").as_string());
  }
  return "";
}

}  // namespace

bool ScenarioRun::ExpectReady(const StepArguments& arguments) {
  for (const std::string& host : arguments.Names("hosts")) {
    if (!fleet_->AwaitReady(host)) return Fail(fleet_->last_reason());
  }
  return true;
}

bool ScenarioRun::ExpectVersion(const StepArguments& arguments) {
  if (fleet_->AwaitVersion(newest_version_, arguments.Time("time")))
    return true;
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::ExpectTarget(const StepArguments& arguments) {
  if (fleet_->AwaitTarget(arguments.Text("target"), true,
                          arguments.Time("time"))) {
    return true;
  }
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::ExpectNoTarget(const StepArguments& arguments) {
  if (fleet_->AwaitTarget(arguments.Text("target"), false,
                          arguments.Time("time"))) {
    return true;
  }
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::ExpectExit(const StepArguments& arguments) {
  const std::string name = arguments.Text("name");
  Process* const process = fleet_->process(name);
  if (process == nullptr) return Fail(name + " was never started");
  const auto status = process->AwaitExit(arguments.Time("time"));
  if (!status) return Fail(name + " did not exit in time");
  if (const auto began = drain_started_.find(name);
      began != drain_started_.end()) {
    const auto drained = process->log().Matching("event=drained");
    const bool whole =
        !drained.empty() && FindLogField(drained.back(), "in_flight") == "0";
    history_.drains.push_back({.began = began->second,
                               .ended = EventNow(),
                               .host = name,
                               .in_flight = whole ? 0U : 1U});
  }
  if (*status == static_cast<int>(arguments.Count("status"))) return true;
  return Fail(fmt::format("{} exited with {}:\n{}", name, *status,
                          process->log().Tail(5)));
}

bool ScenarioRun::ExpectStage(const StepArguments& arguments) {
  for (const std::string& host : arguments.Names("hosts")) {
    AdminClient client = fleet_->Admin(host);
    std::string stage;
    const bool reached = WaitUntil(arguments.Time("time"), [&] {
      stage = ReadStage(client, arguments.Text("pool"));
      return stage == arguments.Text("stage");
    });
    if (!reached)
      return Fail(fmt::format("timed out: on {} the rollout is in stage {}",
                              host, stage));
  }
  return true;
}

bool ScenarioRun::ExpectAnswers(const StepArguments& arguments) {
  const auto load = loads_.find(arguments.Text("load"));
  if (load == loads_.end()) return Fail("no such load");
  const std::uint64_t wanted =
      load->second->Count(CallOutcome::kAnswered) + arguments.Count("answers");
  const bool reached = WaitUntil(arguments.Time("time"), [&] {
    return load->second->Count(CallOutcome::kAnswered) >= wanted;
  });
  if (reached) return true;
  return Fail(fmt::format(
      "timed out: {} of {} calls were answered, {} refused as not run, {} "
      "failed, {} without a response",
      load->second->Count(CallOutcome::kAnswered), load->second->total(),
      load->second->Count(CallOutcome::kNotRun),
      load->second->Count(CallOutcome::kFailed),
      load->second->Count(CallOutcome::kNoResponse)));
}

bool ScenarioRun::ExpectShare(const StepArguments& arguments) {
  const auto load = loads_.find(arguments.Text("load"));
  if (load == loads_.end()) return Fail("no such load");
  const std::uint64_t answered = load->second->Count(CallOutcome::kAnswered);
  const std::uint64_t total = load->second->total();
  if (answered * kPercentScale >= total * arguments.Count("percent"))
    return true;
  return Fail(fmt::format(
      "{} of {} calls were answered, {} refused as not run, {} failed, {} "
      "without a response",
      answered, total, load->second->Count(CallOutcome::kNotRun),
      load->second->Count(CallOutcome::kFailed),
      load->second->Count(CallOutcome::kNoResponse)));
}

bool ScenarioRun::ExpectAnswerFrom(const StepArguments& arguments) {
  HttpConnection connection(fleet_->caller(arguments.Text("host")));
  std::string last_response;
  const bool reached = WaitUntil(arguments.Time("time"), [&] {
    const auto answer =
        connection.Call({.method = "GET", .target = arguments.Text("path")});
    if (!answer) return false;
    last_response = std::to_string(answer->status);
    const auto version = answer->fields.find("x-target-version");
    if (version != answer->fields.end())
      last_response += " from " + version->second;
    return answer->status == 200 && version != answer->fields.end() &&
           version->second == arguments.Text("version");
  });
  return reached || Fail("timed out: the last response was " + last_response);
}

bool ScenarioRun::ExpectEnded(const StepArguments& arguments) {
  std::size_t ended = 0;
  for (const std::string& name : arguments.Names("names")) {
    Process* const process = fleet_->process(name);
    if (process == nullptr) return Fail(name + " was never started");
    if (!process->running()) ++ended;
  }
  if (ended == arguments.Count("count")) return true;
  return Fail(fmt::format("{} of the processes have exited", ended));
}

bool ScenarioRun::ExpectHostDead(const StepArguments& arguments) {
  for (const std::string& other : arguments.Names("others")) {
    AdminClient client = fleet_->Admin(other);
    std::string status;
    const bool dead = WaitUntil(arguments.Time("time"), [&] {
      status = ReadStatus(client, arguments.Text("host"));
      return status == "dead" || status.empty();
    });
    if (!dead)
      return Fail(
          fmt::format("timed out: {} reports the host as {}", other, status));
  }
  return true;
}

}  // namespace camphor
