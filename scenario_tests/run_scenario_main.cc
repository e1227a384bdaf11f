#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

#include "harness/scenario/scenario_parser.h"
#include "harness/scenario/scenario_run.h"

// Runs one scenario file. Usage: run_scenario FILE [keep-logs]. Exit codes: 0
// if all expectations hold, 1 if one fails, 2 if the arguments are invalid or
// the file cannot be read or parsed.
int main(int argc, char** argv) {
  const bool keep_logs = argc == 3 && std::string_view(argv[2]) == "keep-logs";
  if (argc != 2 && !keep_logs) {
    fmt::print(stderr, "usage: run_scenario FILE [keep-logs]\n");
    return 2;
  }
  const std::filesystem::path file(argv[1]);
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  camphor::ScenarioParser parser(camphor::ScenarioRun::Forms());
  const auto steps = parser.Parse(text.str());
  if (!stream || !steps) {
    fmt::print(stderr, "run_scenario: {}: {}\n", file.string(),
               steps ? "cannot be read" : parser.last_reason().ToString());
    return 2;
  }

  camphor::ScenarioRun run({.folder = file.parent_path().string(),
                            .run_id = file.stem().string(),
                            .keep_logs = keep_logs});
  const bool as_expected = run.Run(*steps);
  if (keep_logs)
    fmt::print(stderr, "logs: {}\n", run.fleet().folder().string());
  if (as_expected) {
    fmt::print(stderr, "run_scenario: {}: as expected\n", file.stem().string());
    return 0;
  }
  fmt::print(stderr, "run_scenario: {}: {}\n{}", file.string(),
             run.last_reason(), run.fleet().LogTails(12));
  return 1;
}
