#include <fmt/format.h>

#include <cstdio>

#include "harness/soak/soak_run.h"
#include "stand_ins/command_line.h"

// Runs a fleet under ordinary callers and callers that do not behave. Exit
// codes: 0 if all checks hold, 1 if one fails, 2 if the arguments are invalid.
int main(int argc, const char** argv) {
  camphor::CommandLine line(
      {{.name = "seconds", .help = "duration of the load", .fallback = "15"},
       {.name = "seed", .help = "seed of all choices", .fallback = "1"},
       {.name = "keep-logs",
        .help = "1 to keep the logs of the processes",
        .fallback = "0"}});
  const bool parsed = line.Parse(argc, argv);
  const auto seconds = line.Number("seconds");
  const auto seed = line.Number("seed");
  if (!parsed || !seconds || !seed || *seconds < 1 || *seed < 0) {
    fmt::print(stderr, "soak: bad command line: {}\n", line.last_reason());
    return 2;
  }
  const bool keep_logs = line.Text("keep-logs") == "1";
  camphor::SoakRun soak({.time = camphor::Seconds(*seconds),
                         .seed = static_cast<std::uint64_t>(*seed),
                         .keep_logs = keep_logs});
  const bool held = soak.Run();
  fmt::print(stderr, "soak: seed {}, {} s: {}\n", *seed, *seconds,
             soak.summary());
  if (keep_logs) fmt::print(stderr, "logs: {}\n", soak.folder());
  if (held) return 0;
  fmt::print(stderr, "soak: failed: {}\n", soak.last_reason());
  return 1;
}
