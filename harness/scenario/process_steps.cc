// Scenario steps that start, stop and inject faults into processes.
#include <fmt/format.h>

#include <sstream>
#include <utility>

#include "harness/scenario/scenario_run.h"

namespace camphor {
namespace {

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

// Calls `action` for each named process. Returns false if one was never
// started.
bool ForEachProcess(Fleet& fleet, const std::vector<std::string>& names,
                    const std::function<void(Process&)>& action) {
  for (const std::string& name : names) {
    Process* const process = fleet.process(name);
    if (process == nullptr) return false;
    action(*process);
  }
  return true;
}

}  // namespace

bool ScenarioRun::StartFleet(const StepArguments& arguments, bool links) {
  fleet_ = std::make_unique<Fleet>(Fleet::Options{
      .programs = options_.programs,
      .domains = static_cast<unsigned>(arguments.Count("domains", 3)),
      .seeds = static_cast<unsigned>(arguments.Count("seeds", 3)),
      .history = true,
      .links = links,
      .extra_settings =
          arguments.Text("settings", R"("proxy": {"debug_headers": true})"),
      .keep_logs = options_.keep_logs});
  return true;
}

bool ScenarioRun::MakeFleet(const StepArguments& arguments) {
  return StartFleet(arguments, false);
}

bool ScenarioRun::MakeLinkedFleet(const StepArguments& arguments) {
  return StartFleet(arguments, true);
}

bool ScenarioRun::StartPlatform(const StepArguments& arguments) {
  if (fleet_->StartPlatform(SplitWords(arguments.Text("more")))) return true;
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::StartHosts(const StepArguments& arguments) {
  if (fleet_->StartHosts(static_cast<unsigned>(arguments.Count("count"))))
    return true;
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::StartHost(const StepArguments& arguments) {
  for (const std::string& host : arguments.Names("hosts")) {
    if (!fleet_->StartHost(host)) return Fail(fleet_->last_reason());
  }
  return true;
}

bool ScenarioRun::StartTarget(const StepArguments& arguments) {
  const std::string id = arguments.Text("id");
  history_.targets[id] = {.pool = arguments.Text("pool"),
                          .version = arguments.Text("version")};
  if (fleet_->StartTarget({.host = arguments.Text("host"),
                           .id = id,
                           .pool = arguments.Text("pool"),
                           .version = arguments.Text("version"),
                           .arguments = SplitWords(arguments.Text("more"))})) {
    return true;
  }
  return Fail(fleet_->last_reason());
}

// The target listens on a port chosen in advance, so that the relay can be
// started before the target announces the address of the relay.
bool ScenarioRun::StartRelayedTarget(const StepArguments& arguments) {
  const std::string id = arguments.Text("id");
  const Endpoint behind = fleet_->RelayedTargetEndpoint(arguments.Text("host"));
  auto relay = std::make_unique<Relay>(Relay::Options{
      .listen = {.address = behind.address, .port = 0}, .to = behind});
  if (!relay->Start()) return Fail(relay->last_reason());
  const std::string announced = relay->endpoint().ToString();
  relays_[id] = std::move(relay);
  history_.targets[id] = {.pool = arguments.Text("pool"),
                          .version = arguments.Text("version")};
  std::vector<std::string> more = SplitWords(arguments.Text("more"));
  more.insert(more.end(),
              {"--announce", announced, "--listen", behind.ToString()});
  if (fleet_->StartTarget({.host = arguments.Text("host"),
                           .id = id,
                           .pool = arguments.Text("pool"),
                           .version = arguments.Text("version"),
                           .arguments = std::move(more)})) {
    return true;
  }
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::Kill(const StepArguments& arguments) {
  return ForEachProcess(*fleet_, arguments.Names("names"),
                        [](Process& process) { process.Kill(); }) ||
         Fail("a process was never started");
}

bool ScenarioRun::Terminate(const StepArguments& arguments) {
  for (const std::string& name : arguments.Names("names")) {
    if (history_.targets.contains(name)) {
      history_.leaves.push_back({.at = EventNow(), .target = name});
    } else {
      drain_started_[name] = EventNow();
    }
  }
  return ForEachProcess(*fleet_, arguments.Names("names"),
                        [](Process& process) { process.Terminate(); }) ||
         Fail("a process was never started");
}

bool ScenarioRun::Freeze(const StepArguments& arguments) {
  return ForEachProcess(*fleet_, arguments.Names("names"),
                        [](Process& process) { process.Freeze(); }) ||
         Fail("a process was never started");
}

bool ScenarioRun::Thaw(const StepArguments& arguments) {
  return ForEachProcess(*fleet_, arguments.Names("names"),
                        [](Process& process) { process.Thaw(); }) ||
         Fail("a process was never started");
}

// Targets are cut by their own relay, hosts by the links of the fleet.
bool ScenarioRun::Cut(const StepArguments& arguments) {
  for (const std::string& name : arguments.Names("names")) {
    if (relays_.contains(name)) {
      relays_[name]->Cut();
    } else if (!fleet_->CutHost(name)) {
      return Fail(fleet_->last_reason());
    }
  }
  return true;
}

bool ScenarioRun::Heal(const StepArguments& arguments) {
  for (const std::string& name : arguments.Names("names")) {
    if (relays_.contains(name)) {
      relays_[name]->Heal();
    } else if (!fleet_->HealHost(name)) {
      return Fail(fleet_->last_reason());
    }
  }
  return true;
}

bool ScenarioRun::Silence(const StepArguments& arguments) {
  for (const std::string& name : arguments.Names("names")) {
    if (!relays_.contains(name)) return Fail(name + " has no relay");
    relays_[name]->StallOpen();
  }
  return true;
}

bool ScenarioRun::SwitchPlatform(const StepArguments& arguments) {
  if (fleet_->ControlPlatform(
          fmt::format(R"({{"mode": "{}"}})", arguments.Text("mode")))) {
    return true;
  }
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::SlowPlatform(const StepArguments& arguments) {
  if (fleet_->ControlPlatform(
          fmt::format(R"({{"mode": "slow", "delay_ms": {}}})",
                      arguments.Time("delay").count()))) {
    return true;
  }
  return Fail(fleet_->last_reason());
}

bool ScenarioRun::SetFaults(const StepArguments& arguments) {
  if (fleet_->ControlTarget(arguments.Text("target"),
                            arguments.Text("faults"))) {
    return true;
  }
  return Fail(fleet_->last_reason());
}

}  // namespace camphor
