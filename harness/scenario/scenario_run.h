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
/// Register the steps' forms with a ScenarioParser, then Run what it read. The
/// forms are described in docs/architecture/proof.md.
class ScenarioRun {
 public:
  struct Options {
    std::string folder{};    ///< folder that tables are read from
    std::string programs{};  ///< folder of the programs; found if empty
    std::string run_id{};    ///< names the run in reports
    bool keep_logs = false;  ///< leaves the processes' logs and settings
  };

  explicit ScenarioRun(Options options);
  ~ScenarioRun();

  /// Forms of all steps, for the parser. Thread safety: any thread.
  static std::vector<std::string> Forms();

  /// Runs the steps in order, then checks the history. Returns false, with
  /// last_reason set, at the first step that fails or when the history breaks a
  /// promise. Thread safety: one thread.
  bool Run(const std::vector<ScenarioStep>& steps);

  /// Why Run failed. Thread safety: one thread.
  const std::string& last_reason() const { return last_reason_; }

  /// The fleet, for a failure report. Thread safety: one thread.
  const Fleet& fleet() const { return *fleet_; }

 private:
  using Step = bool (ScenarioRun::*)(const StepArguments&);
  struct StepForm {
    const char* form;
    Step run;
  };
  static const std::vector<StepForm>& StepForms();

  // Steps that start, stop and disturb processes.
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

  // Steps of operators and callers.
  bool ApplyTables(const StepArguments& arguments);
  bool TryTables(const StepArguments& arguments);
  bool RaceOperators(const StepArguments& arguments);
  bool SendLoad(const StepArguments& arguments);
  bool SendKeyedLoad(const StepArguments& arguments);
  bool StopLoad(const StepArguments& arguments);
  bool SendCrashing(const StepArguments& arguments);

  // Steps that expect something.
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
  void RememberPools(const std::string& tables);
  bool CheckHistory();
  bool Fail(std::string reason);

  Options options_;
  std::unique_ptr<Fleet> fleet_;
  std::map<std::string, std::unique_ptr<RequestLoad>> loads_;
  std::map<std::string, std::unique_ptr<Relay>> relays_;
  std::map<std::string, EventTime> drain_began_;
  History history_;
  std::string tables_;                // applied last
  std::uint64_t newest_version_ = 0;  // accepted last
  std::string last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SCENARIO_SCENARIO_RUN_H_
