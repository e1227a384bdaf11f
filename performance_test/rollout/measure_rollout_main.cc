#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "core/rollout/rollout_view.h"
#include "core/rollout/sequential_judge.h"
#include "performance_test/rollout/rollout_trial.h"
#include "performance_test/rollout/trial_summary.h"
#include "performance_test/rollout/window_judge.h"

namespace camphor {
namespace {

constexpr double kWindowTestScore = 4.5;  // one false alarm in 290,000 tests

/// Command-line arguments.
struct Arguments {
  int seed = 1;
  int moves = 120;
  int threads = 4;
  int index = 0;
  std::string workload;
  std::string record;
  std::string kind;
  bool baselines = true;
  bool faults = false;
};

/// A decision rule under measurement, with the rollout settings that select it.
struct Candidate {
  std::string name;
  RolloutOptions rollout{};
};

std::vector<Candidate> MakeCandidates(bool baselines) {
  std::vector<Candidate> candidates;
  const auto add = [&candidates](const std::string& name, auto make_judge) {
    RolloutOptions rollout;
    rollout.make_judge = make_judge;
    candidates.push_back({.name = name, .rollout = std::move(rollout)});
  };
  if (baselines) {
    add("fixed_thresholds", [] {
      return std::make_unique<WindowJudge>(
          WindowJudge::Options{.test = FixedThresholdEvidence});
    });
    add("window_test", [] {
      return std::make_unique<WindowJudge>(WindowJudge::Options{
          .test = [](const SignalCounts& counts, JudgeSignal /*signal*/) {
            return TwoProportionEvidence(counts, kWindowTestScore);
          }});
    });
    add("sequential_plain", [] {
      return std::make_unique<SequentialJudge>(SequentialJudge::Options{
          .leave_one_out = false,
          .comparison = {.max_block_evidence = 1e9, .max_dispersion = 1}});
    });
  }
  candidates.push_back({.name = "sequential"});
  return candidates;
}

/// Selects the kinds to run, alternating good and bad versions.
std::vector<RolloutKind> SelectKinds(const Workload& workload,
                                     const std::string& only) {
  std::vector<RolloutKind> good;
  std::vector<RolloutKind> bad;
  for (const RolloutKind& kind : AllKinds()) {
    if (!only.empty() && kind.name != only) continue;
    if (!workload.kinds.empty() &&
        std::ranges::find(workload.kinds, kind.name) == workload.kinds.end()) {
      continue;
    }
    (kind.bad ? bad : good).push_back(kind);
  }
  if (good.empty()) return bad;
  if (bad.empty()) return good;
  std::vector<RolloutKind> kinds;
  for (std::size_t index = 0; index < good.size() * bad.size(); ++index) {
    kinds.push_back(good[index % good.size()]);
    kinds.push_back(bad[index % bad.size()]);
  }
  return kinds;
}

std::uint64_t TrialSeed(int seed, std::size_t index) {
  // Mixes the bits (finalizer of splitmix64), so that neighbouring seeds and
  // indices give unrelated streams.
  std::uint64_t mixed = static_cast<std::uint64_t>(seed) * 1'000'003 + index;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

TrialSummary Measure(const Candidate& candidate, const Workload& workload,
                     const std::vector<RolloutKind>& kinds,
                     const Arguments& arguments) {
  const auto moves = static_cast<std::size_t>(arguments.moves);
  std::vector<TrialResult> results(moves);
  std::atomic<std::size_t> next{0};
  const auto run_trials = [&] {
    for (std::size_t index = next++; index < moves; index = next++) {
      results[index] = RunTrial({.workload = workload,
                                 .kind = kinds[index % kinds.size()],
                                 .seed = TrialSeed(arguments.seed, index),
                                 .rollout = candidate.rollout});
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(arguments.threads));
  for (int thread = 0; thread < arguments.threads; ++thread) {
    threads.emplace_back(run_trials);
  }
  for (std::thread& thread : threads) thread.join();

  TrialSummary summary;
  for (std::size_t index = 0; index < moves; ++index) {
    summary.Add(kinds[index % kinds.size()], index, results[index]);
  }
  return summary;
}

int Record(const Workload& workload, const std::vector<RolloutKind>& kinds,
           const Arguments& arguments) {
  std::ofstream file(arguments.record);
  file << "seconds,stage,share,new_requests,new_failures,old_requests,"
          "old_failures,evidence\n";
  const auto index = static_cast<std::size_t>(arguments.index);
  const RolloutKind& kind = kinds[index % kinds.size()];
  const TrialResult result = RunTrial(
      {.workload = workload,
       .kind = kind,
       .seed = TrialSeed(arguments.seed, index),
       .on_sample = [&file](const TrialSample& sample) {
         file << fmt::format("{},{},{},{},{},{},{},{}\n", sample.seconds,
                             RolloutStageName(sample.record.stage),
                             sample.record.share_ppm / 1e6, sample.new_requests,
                             sample.new_failures, sample.old_requests,
                             sample.old_failures, sample.evidence);
       }});
  if (!file.flush()) {
    fmt::print(stderr, "measure_rollout: cannot write {}\n", arguments.record);
    return EXIT_FAILURE;
  }
  fmt::print("kind={} rolled_back={} in_time={} bad_share={:.5f} reason={}\n",
             kind.name, result.rolled_back, result.in_time, result.bad_share,
             result.reason.sentence);
  return EXIT_SUCCESS;
}

std::optional<Workload> LoadWorkload(const std::string& path) {
  if (path.empty()) return Workload{};
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    fmt::print(stderr, "measure_rollout: cannot read {}\n", path);
    return std::nullopt;
  }
  std::vector<FieldError> errors;
  std::optional<Workload> workload = Workload::Parse(text.str(), errors);
  for (const FieldError& error : errors) {
    fmt::print(stderr, "measure_rollout: {} {}\n", error.field, error.message);
  }
  return workload;
}

int Run(const Arguments& arguments) {
  const std::optional<Workload> workload = LoadWorkload(arguments.workload);
  if (!workload) return 2;
  const std::vector<RolloutKind> kinds = SelectKinds(*workload, arguments.kind);
  if (kinds.empty()) {
    fmt::print(stderr,
               "measure_rollout: unknown or excluded rollout kind: {}\n",
               arguments.kind);
    return 2;
  }
  if (!arguments.record.empty()) return Record(*workload, kinds, arguments);
  for (const Candidate& candidate : MakeCandidates(arguments.baselines)) {
    const TrialSummary summary =
        Measure(candidate, *workload, kinds, arguments);
    const bool chosen = candidate.name == "sequential";
    if (chosen) fmt::print("{}", summary.Table());
    if (arguments.faults) fmt::print("{}", summary.WrongDecisions());
    if (!chosen) fmt::print("baseline={} ", candidate.name);
    fmt::print("{}\n", summary.Line());
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace camphor

int main(int argc, const char** argv) {
  camphor::Arguments arguments;
  const char* workload = nullptr;
  const char* record = nullptr;
  const char* kind = nullptr;
  int no_baselines = 0;
  int faults = 0;
  const poptOption options[] = {
      {"seed", 0, POPT_ARG_INT, &arguments.seed, 0, "seed of all trials", "N"},
      {"moves", 0, POPT_ARG_INT, &arguments.moves, 0,
       "number of rollouts to run", "N"},
      {"threads", 0, POPT_ARG_INT, &arguments.threads, 0,
       "worker threads; the result does not depend on their number", "N"},
      {"workload", 0, POPT_ARG_STRING, &workload, 0,
       "workload file, JSON with comments", "FILE"},
      {"kind", 0, POPT_ARG_STRING, &kind, 0, "run only this kind of rollout",
       "NAME"},
      {"index", 0, POPT_ARG_INT, &arguments.index, 0,
       "index of the rollout to record", "N"},
      {"record", 0, POPT_ARG_STRING, &record, 0,
       "run one rollout and write its samples as CSV", "FILE"},
      {"no-baselines", 0, POPT_ARG_NONE, &no_baselines, 0,
       "do not measure the baselines", nullptr},
      {"faults", 0, POPT_ARG_NONE, &faults, 0, "list every wrong decision",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("measure_rollout", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  const bool valid = parsed == -1 && poptPeekArg(context) == nullptr &&
                     arguments.moves > 0 && arguments.threads > 0 &&
                     arguments.index >= 0;
  if (!valid)
    fmt::print(stderr, "measure_rollout: invalid arguments; see --help\n");
  arguments.baselines = no_baselines == 0;
  arguments.faults = faults != 0;
  if (workload != nullptr) arguments.workload = workload;
  if (record != nullptr) arguments.record = record;
  if (kind != nullptr) arguments.kind = kind;
  poptFreeContext(context);
  return valid ? camphor::Run(arguments) : 2;
}
