#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <optional>

#include "harness/fuzz/listener_fuzz_run.h"
#include "stand_ins/command_line.h"

namespace {

using camphor::ListenerFuzzRun;

/// Finds the first prefix of the steps of a round that still fails, by
/// bisection: about ten replays, each with processes of its own. Returns
/// nullopt if the round alone does not fail.
std::optional<std::size_t> FindShortestPrefix(std::uint64_t seed,
                                              std::uint64_t round,
                                              std::size_t steps,
                                              std::string& reason) {
  const auto fails = [&](std::size_t count) {
    ListenerFuzzRun replay(
        {.seed = seed, .first_round = round, .steps = count});
    const bool failed = !replay.Run();
    if (failed) reason = replay.last_reason();
    return failed;
  };
  if (!fails(steps)) return std::nullopt;
  std::size_t passing = 0;
  while (passing + 1 < steps) {
    const std::size_t middle = passing + (steps - passing) / 2;
    (fails(middle) ? steps : passing) = middle;
  }
  return steps;
}

}  // namespace

// Fuzzes the callers' listener of a camphord process. Exit codes: 0 if all
// checks hold, 1 if one fails, 2 if the arguments are invalid.
int main(int argc, const char** argv) {
  camphor::CommandLine line(
      {{.name = "seed", .help = "seed of all cases", .fallback = "1"},
       {.name = "rounds", .help = "rounds to play", .fallback = "30"},
       {.name = "first", .help = "number of the first round", .fallback = "0"},
       {.name = "steps",
        .help = "steps to play of each round, 0 for all",
        .fallback = "0"}});
  const bool parsed = line.Parse(argc, argv);
  const auto seed = line.Number("seed");
  const auto rounds = line.Number("rounds");
  const auto first = line.Number("first");
  const auto steps = line.Number("steps");
  if (!parsed || !seed || !rounds || !first || !steps || *rounds < 1 ||
      std::min({*seed, *first, *steps}) < 0) {
    fmt::print(stderr, "fuzz_listener: bad command line: {}\n",
               line.last_reason());
    return 2;
  }
  const auto whole_seed = static_cast<std::uint64_t>(*seed);
  ListenerFuzzRun fuzz({.seed = whole_seed,
                        .first_round = static_cast<std::uint64_t>(*first),
                        .rounds = static_cast<std::uint64_t>(*rounds),
                        .steps = *steps == 0
                                     ? std::numeric_limits<std::size_t>::max()
                                     : static_cast<std::size_t>(*steps)});
  const bool held = fuzz.Run();
  fmt::print(stderr,
             "fuzz_listener: seed {}, rounds {} to {}: {} responses, {} of 200 "
             "to well-formed requests\n",
             *seed, *first, *first + *rounds - 1, fuzz.responses(),
             fuzz.answered());
  if (held) return 0;
  fmt::print(stderr, "fuzz_listener: failed: {}\n", fuzz.last_reason());
  if (!fuzz.failed_round()) return 1;
  const std::uint64_t round = *fuzz.failed_round();
  const camphor::FuzzCase failed =
      camphor::MakeFuzzCase(whole_seed, round, "fuzz");
  std::string reason;
  const auto prefix =
      FindShortestPrefix(whole_seed, round, failed.steps.size(), reason);
  if (!prefix) {
    fmt::print(stderr, "fuzz_listener: round {} alone does not fail\n", round);
    return 1;
  }
  fmt::print(stderr,
             "fuzz_listener: shortest prefix that fails: --seed {} --first {} "
             "--rounds 1 --steps {}\n{}{}\n",
             *seed, round, *prefix, camphor::DescribeFuzzCase(failed, *prefix),
             reason);
  return 1;
}
