#ifndef CAMPHORHILL_HARNESS_SCENARIO_SCENARIO_RUN_H_
#define CAMPHORHILL_HARNESS_SCENARIO_SCENARIO_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "harness/history/history.h"
#include "harness/load/request_load.h"
#include "harness/relay.h"
#include "harness/scenario/scenario_parser.h"

namespace camphor {

/// Runs one scenario against a fleet of real processes and checks its history.
///
/// Construct a ScenarioParser with Forms(), then pass its result to Run(). The
/// forms are described in docs/architecture/proof.md.
class ScenarioRun {
 public:
  struct Options {
    std::string folder{};  ///< folder of the tables files
    std::string
        programs{};        ///< folder of the programs; empty: that of this one
    std::string run_id{};  ///< name of the run in reports
    bool keep_logs = false;  ///< keep logs and settings of the processes
  };

  explicit ScenarioRun(Options options);
  ~ScenarioRun();

  /// Forms of all steps, for ScenarioParser. Thread-safe.
  static std::vector<std::string> Forms();

  /// Runs the steps in order, then checks the history. Returns false and sets
  /// last_reason() at the first step that fails or if the history violates an
  /// invariant. Must be called from one thread.
  bool Run(const std::vector<ScenarioStep>& steps);

  /// Error of Run(). Must be called from one thread.
  const std::string& last_reason() const { return last_reason_; }

  /// The fleet, for failure reports. Must be called from one thread.
  const Fleet& fleet() const { return *fleet_; }

 private:
  using Step = bool (ScenarioRun::*)(const StepArguments&);
  struct StepForm {
    const char* form;
    Step run;
  };
  static const std::vector<StepForm>& StepForms();

  // Steps that start, stop and inject faults into processes.
  bool MakeFleet(const StepArguments& arguments);
  bool MakeLinkedFleet(const StepArguments& arguments);
  bool StartPlatform(const StepArguments& arguments);
  bool StartHosts(const StepArguments& arguments);
  bool StartHost(const StepArguments& arguments);
  bool StartTarget(const StepArguments& arguments);
  bool StartRelayedTarget(const StepArguments& arguments);
  bool Kill(const StepArguments& arguments);
  bool Terminate(const StepArguments& arguments);
  bool Freeze(const StepArguments& arguments);
  bool Thaw(const StepArguments& arguments);
  bool Cut(const StepArguments& arguments);
  bool Heal(const StepArguments& arguments);
  bool Silence(const StepArguments& arguments);
  bool SwitchPlatform(const StepArguments& arguments);
  bool SlowPlatform(const StepArguments& arguments);
  bool SetFaults(const StepArguments& arguments);

  // Steps that act as operators and callers.
  bool ApplyTables(const StepArguments& arguments);
  bool TryTables(const StepArguments& arguments);
  bool RaceOperators(const StepArguments& arguments);
  bool SendLoad(const StepArguments& arguments);
  bool SendKeyedLoad(const StepArguments& arguments);
  bool StopLoad(const StepArguments& arguments);
  bool SendCrashingRequest(const StepArguments& arguments);

  // Steps that check expectations.
  bool ExpectReady(const StepArguments& arguments);
  bool ExpectVersion(const StepArguments& arguments);
  bool ExpectTarget(const StepArguments& arguments);
  bool ExpectNoTarget(const StepArguments& arguments);
  bool ExpectExit(const StepArguments& arguments);
  bool ExpectStage(const StepArguments& arguments);
  bool ExpectAnswers(const StepArguments& arguments);
  bool ExpectShare(const StepArguments& arguments);
  bool ExpectAnswerFrom(const StepArguments& arguments);
  bool ExpectEnded(const StepArguments& arguments);
  bool ExpectHostDead(const StepArguments& arguments);

  bool StartFleet(const StepArguments& arguments, bool links);
  bool StartLoad(const StepArguments& arguments, bool keyed);
  EditEvent Edit(const std::string& editor, const std::string& host,
                 const std::string& tables, std::optional<std::uint64_t> base);
  void RecordPools(const std::string& tables);
  bool CheckHistory();
  bool Fail(std::string reason);

  Options options_;
  std::unique_ptr<Fleet> fleet_;
  std::map<std::string, std::unique_ptr<RequestLoad>> loads_;
  std::map<std::string, std::unique_ptr<Relay>> relays_;
  std::map<std::string, EventTime> drain_started_;
  History history_;
  std::string tables_;                // most recently applied
  std::uint64_t newest_version_ = 0;  // highest accepted version
  std::string last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SCENARIO_SCENARIO_RUN_H_
