#include "harness/scenario/scenario_run.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

#include "harness/history/history_checker.h"
#include "harness/history/history_reader.h"

namespace camphor {
namespace {

constexpr std::size_t kMaxReported = 10;

}  // namespace

ScenarioRun::ScenarioRun(Options options) : options_(std::move(options)) {
  history_.run_id = options_.run_id;
}

ScenarioRun::~ScenarioRun() { loads_.clear(); }

const std::vector<ScenarioRun::StepForm>& ScenarioRun::StepForms() {
  using Run = ScenarioRun;
  static const std::vector<StepForm> forms = {
      {"fleet [domains {domains:count}] [seeds {seeds:count}] "
       "[settings {settings:text}]",
       &Run::MakeFleet},
      {"fleet with links [domains {domains:count}] [settings {settings:text}]",
       &Run::MakeLinkedFleet},
      {"start platform [with {more:text}]", &Run::StartPlatform},
      {"start hosts {count:count}", &Run::StartHosts},
      {"start host {hosts:names}", &Run::StartHost},
      {"start target {id:name} on {host:name} pool {pool:name} version "
       "{version:name} [with {more:text}]",
       &Run::StartTarget},
      {"start relayed target {id:name} on {host:name} pool {pool:name} version "
       "{version:name} [with {more:text}]",
       &Run::StartRelayedTarget},
      {"kill {names:names}", &Run::Kill},
      {"terminate {names:names}", &Run::Terminate},
      {"freeze {names:names}", &Run::Freeze},
      {"thaw {names:names}", &Run::Thaw},
      {"cut {names:names}", &Run::Cut},
      {"heal {names:names}", &Run::Heal},
      {"silence connections of {names:names}", &Run::Silence},
      {"platform slow {delay:time}", &Run::SlowPlatform},
      {"platform {mode:name}", &Run::SwitchPlatform},
      {"faults of {target:name} {faults:text}", &Run::SetFaults},
      {"apply {file:name} on {host:name}", &Run::ApplyTables},
      {"apply {file:name} on {host:name} gives {status:name}", &Run::TryTables},
      {"race {operators:count} operators with {edits:count} edits each on "
       "{hosts:names}",
       &Run::RaceOperators},
      {"send load {load:name} to {hosts:names} path {path:text} "
       "[callers {callers:count}] [work {work:time}] [bytes {bytes:count}]",
       &Run::SendLoad},
      {"send keyed load {load:name} to {hosts:names} path {path:text} "
       "[callers {callers:count}] [work {work:time}] [bytes {bytes:count}]",
       &Run::SendKeyedLoad},
      {"stop load {load:name}", &Run::StopLoad},
      {"send crashing request to {hosts:names} path {path:text} "
       "{times:count} times",
       &Run::SendCrashingRequest},
      {"expect ready {hosts:names}", &Run::ExpectReady},
      {"expect newest version within {time:time}", &Run::ExpectVersion},
      {"expect target {target:name} seen within {time:time}",
       &Run::ExpectTarget},
      {"expect target {target:name} gone within {time:time}",
       &Run::ExpectNoTarget},
      {"expect exit of {name:name} with {status:count} within {time:time}",
       &Run::ExpectExit},
      {"expect rollout of {pool:name} {stage:name} on {hosts:names} within "
       "{time:time}",
       &Run::ExpectStage},
      {"expect load {load:name} {answers:count} more answers within "
       "{time:time}",
       &Run::ExpectAnswers},
      {"expect load {load:name} answered {percent:count} percent",
       &Run::ExpectShare},
      {"expect answer from {version:name} on {host:name} path {path:text} "
       "within {time:time}",
       &Run::ExpectAnswerFrom},
      {"expect {count:count} of {names:names} ended", &Run::ExpectEnded},
      {"expect {host:name} dead on {others:names} within {time:time}",
       &Run::ExpectHostDead}};
  return forms;
}

std::vector<std::string> ScenarioRun::Forms() {
  std::vector<std::string> texts;
  for (const StepForm& form : StepForms()) texts.emplace_back(form.form);
  return texts;
}

bool ScenarioRun::Run(const std::vector<ScenarioStep>& steps) {
  for (const ScenarioStep& step : steps) {
    if (fleet_ == nullptr && !step.form.starts_with("fleet")) MakeFleet({});
    for (const StepForm& form : StepForms()) {
      if (step.form != form.form) continue;
      if ((this->*form.run)(step.arguments)) continue;
      if (options_.keep_logs) fleet_->WriteDumps();
      return Fail(
          fmt::format("line {}: {}\n  {}", step.line, step.text, last_reason_));
    }
  }
  return CheckHistory();
}

// Collects the events of all processes and callers and checks them.
bool ScenarioRun::CheckHistory() {
  if (fleet_ == nullptr) return true;
  for (const auto& [name, load] : loads_) {
    load->Stop();
    history_.calls.insert(history_.calls.end(), load->calls().begin(),
                          load->calls().end());
  }
  ReadHistoryLines(fleet_->History(), history_);
  const std::vector<Violation> violations = HistoryChecker({}).Check(history_);
  if (violations.empty()) return true;
  std::string report = fmt::format("the history of run {} violates invariants:",
                                   history_.run_id);
  for (std::size_t index = 0; index < std::min(violations.size(), kMaxReported);
       ++index) {
    report +=
        fmt::format("\n  {}: {}", InvariantName(violations[index].invariant),
                    violations[index].sentence);
  }
  return Fail(fmt::format("{}\n  ({} violations)", report, violations.size()));
}

bool ScenarioRun::Fail(std::string reason) {
  last_reason_ = std::move(reason);
  return false;
}

}  // namespace camphor
