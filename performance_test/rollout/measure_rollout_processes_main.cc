#include <fmt/format.h>

#include <cstdlib>
#include <vector>

#include "performance_test/rollout/process_trial.h"

namespace camphor {
namespace {

std::vector<ProcessTrialOptions> Trials() {
  return {
      {.name = "good"},
      {.name = "good_bad_host",
       .faults = R"({"faults": [{"error_ppm": 300000}]})",
       .faults_on_one_target = true},
      {.name = "gross_fail",
       .bad = true,
       .faults = R"({"faults": [{"error_ppm": 300000}]})"},
      {.name = "gross_slow",
       .bad = true,
       .faults = R"({"faults": [{"delay_ms": 60}]})"},
      {.name = "gross_fail_one_route",
       .bad = true,
       .faults = R"({"faults": [{"prefix": "/put", "error_ppm": 300000}]})"},
  };
}

int Run() {
  int good = 0;
  int good_in_time = 0;
  int bad = 0;
  int bad_rolled_back = 0;
  for (const ProcessTrialOptions& trial : Trials()) {
    const ProcessTrialResult result = RunProcessTrial(trial);
    fmt::print("kind={} ran={} stage={} seconds={:.0f} full_in_time={} {}\n",
               trial.name, result.ran, result.stage, result.seconds,
               result.full_in_time, result.sentence);
    if (trial.bad) {
      ++bad;
      bad_rolled_back += result.stage == "rolled_back" ? 1 : 0;
    } else {
      ++good;
      good_in_time += result.stage == "done" && result.full_in_time ? 1 : 0;
    }
  }
  fmt::print("moves={} good={} good_in_time={} bad={} bad_taken_back={}\n",
             good + bad, good, good_in_time, bad, bad_rolled_back);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace camphor

int main() { return camphor::Run(); }
