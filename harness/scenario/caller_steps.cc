// Scenario steps that act as operators and callers.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>

#include "core/base/json_fields.h"
#include "core/base/wall_time_text.h"
#include "harness/scenario/scenario_run.h"

namespace camphor {
namespace {

constexpr Seconds kRolloutTime{30};
constexpr Seconds kApplyTime{10};

// Reads the file and replaces the placeholder COMPLETE_BY by the current time
// plus kRolloutTime.
std::optional<std::string> ReadTables(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return std::nullopt;
  std::ostringstream text;
  text << stream.rdbuf();
  std::string tables = text.str();
  constexpr std::string_view kPlaceholder = "COMPLETE_BY";
  const WallTime complete_by = std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now() + kRolloutTime);
  for (std::size_t at = tables.find(kPlaceholder); at != std::string::npos;
       at = tables.find(kPlaceholder, at)) {
    tables.replace(at, kPlaceholder.size(), FormatWallTime(complete_by));
  }
  return tables;
}

// Changes the queue length of the first pool, which makes a new version with
// equivalent routing.
std::string WithChangedQueue(const std::string& tables, std::size_t number) {
  std::string reason;
  auto document = ParseJsonWithComments(tables, reason);
  if (!document) return tables;
  document->at("pools").at(0).as_object()["queue_per_target"] = 20 + number;
  return boost::json::serialize(*document);
}

EditOutcome ClassifyStatus(int status) {
  if (status == 200) return EditOutcome::kAccepted;
  if (status == 409) return EditOutcome::kConflict;
  if (status == 0 || status == 504) return EditOutcome::kUnknown;
  return EditOutcome::kRefused;
}

std::string ParseDigest(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  if (error || !document.is_object()) return "";
  const boost::json::value* digest =
      document.get_object().if_contains("digest");
  return digest == nullptr || !digest->is_string()
             ? ""
             : std::string(digest->get_string());
}

}  // namespace

// Applies the tables on `base`, or on the version that the host serves.
EditEvent ScenarioRun::Edit(const std::string& editor, const std::string& host,
                            const std::string& tables,
                            std::optional<std::uint64_t> base) {
  AdminClient client = fleet_->Admin(host);
  if (!base) base = client.Version();
  EditEvent edit{.sent = EventNow(),
                 .editor = editor,
                 .base = base.value_or(0),
                 .outcome = EditOutcome::kRefused};
  if (base) {
    const AdminClient::EditResult result = client.PutConfig(tables, *base);
    edit.outcome = ClassifyStatus(result.status);
    edit.version = result.version;
    edit.digest = ParseDigest(result.body);
  }
  edit.ended = EventNow();
  return edit;
}

void ScenarioRun::RecordPools(const std::string& tables) {
  std::string reason;
  const auto document = ParseJsonWithComments(tables, reason);
  if (!document) return;
  for (const boost::json::value& route : document->at("routes").as_array()) {
    const auto& row = route.as_object();
    history_.pool_by_prefix[std::string(row.at("path_prefix").as_string())] =
        std::string(row.at("pool").as_string());
  }
  tables_ = tables;
}

bool ScenarioRun::ApplyTables(const StepArguments& arguments) {
  const auto tables =
      ReadTables(options_.folder + "/" + arguments.Text("file"));
  if (!tables) return Fail("the file cannot be read");
  // A host that serves an older version returns a conflict; retry.
  EditEvent edit;
  WaitUntil(kApplyTime, [&] {
    edit = Edit("operator", arguments.Text("host"), *tables, std::nullopt);
    history_.edits.push_back(edit);
    return edit.outcome != EditOutcome::kConflict;
  });
  if (edit.outcome != EditOutcome::kAccepted)
    return Fail("the tables were not accepted");
  newest_version_ = edit.version;
  RecordPools(*tables);
  return true;
}

bool ScenarioRun::TryTables(const StepArguments& arguments) {
  const auto tables =
      ReadTables(options_.folder + "/" + arguments.Text("file"));
  if (!tables) return Fail("the file cannot be read");
  const EditEvent edit =
      Edit("operator", arguments.Text("host"), *tables, std::nullopt);
  history_.edits.push_back(edit);
  const std::map<std::string, EditOutcome> outcomes = {
      {"accepted", EditOutcome::kAccepted},
      {"conflict", EditOutcome::kConflict},
      {"refused", EditOutcome::kRefused},
      {"unknown", EditOutcome::kUnknown}};
  const auto wanted = outcomes.find(arguments.Text("status"));
  if (wanted == outcomes.end()) return Fail("unknown edit outcome in the step");
  if (edit.outcome == wanted->second) return true;
  return Fail("the edit had a different outcome");
}

bool ScenarioRun::RaceOperators(const StepArguments& arguments) {
  const std::vector<std::string> hosts = arguments.Names("hosts");
  std::mutex mutex;
  std::vector<std::thread> operators;
  for (std::size_t number = 0; number < arguments.Count("operators");
       ++number) {
    operators.emplace_back([&, number] {
      for (std::size_t edit = 0; edit < arguments.Count("edits"); ++edit) {
        const EditEvent event = Edit(
            fmt::format("operator{}", number),
            hosts[(number + edit) % hosts.size()],
            WithChangedQueue(tables_, 1 + number * 100 + edit), std::nullopt);
        const std::lock_guard lock(mutex);
        history_.edits.push_back(event);
        if (event.outcome == EditOutcome::kAccepted)
          newest_version_ = std::max(newest_version_, event.version);
      }
    });
  }
  for (std::thread& thread : operators) thread.join();
  return true;
}

bool ScenarioRun::StartLoad(const StepArguments& arguments, bool keyed) {
  std::map<std::string, Endpoint> hosts;
  for (const std::string& host : arguments.Names("hosts"))
    hosts[host] = fleet_->caller(host);
  const std::string name = arguments.Text("load");
  auto load = std::make_unique<RequestLoad>(RequestLoad::Options{
      .name = name,
      .hosts = std::move(hosts),
      .path = arguments.Text("path"),
      .callers = static_cast<unsigned>(arguments.Count("callers", 4)),
      .work = arguments.Time("work"),
      .answer_bytes = arguments.Count("bytes", 64),
      .keyed = keyed});
  load->Start();
  loads_[name] = std::move(load);
  return true;
}

bool ScenarioRun::SendLoad(const StepArguments& arguments) {
  return StartLoad(arguments, false);
}

bool ScenarioRun::SendKeyedLoad(const StepArguments& arguments) {
  return StartLoad(arguments, true);
}

bool ScenarioRun::StopLoad(const StepArguments& arguments) {
  const auto load = loads_.find(arguments.Text("load"));
  if (load == loads_.end()) return Fail("no such load");
  load->second->Stop();
  return true;
}

// Sends the same crashing request repeatedly, as a caller that keeps retrying.
bool ScenarioRun::SendCrashingRequest(const StepArguments& arguments) {
  const std::vector<std::string> hosts = arguments.Names("hosts");
  for (std::size_t sent = 0; sent < arguments.Count("times"); ++sent) {
    HttpConnection connection(fleet_->caller(hosts[sent % hosts.size()]));
    connection.Call({.method = "POST",
                     .target = arguments.Text("path"),
                     .fields = {{"X-Crash-Me", "1"}},
                     .body = "the body that crashes"},
                    Seconds(5));
  }
  return true;
}

}  // namespace camphor
