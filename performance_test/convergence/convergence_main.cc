#include <popt.h>

#include <cstdio>
#include <map>
#include <string>

#include "performance_test/convergence/convergence_run.h"

namespace {

using camphor::ConvergenceRun;

const std::map<std::string, ConvergenceRun::Fault> kFaults = {
    {"none", ConvergenceRun::Fault::kNone},
    {"herd", ConvergenceRun::Fault::kHerd},
    {"outage", ConvergenceRun::Fault::kOutage},
    {"storm", ConvergenceRun::Fault::kStorm},
};

}  // namespace

int main(int argc, const char** argv) {
  int hosts = 24;
  int domains = 3;
  int changes = 10;
  int services = 20;
  long seed = 1;
  int interval_ms = 1500;
  int idle_s = 10;
  const char* fault = "none";
  const char* mode = "full";
  const poptOption options[] = {
      {"hosts", 0, POPT_ARG_INT, &hosts, 0, "number of hosts", "N"},
      {"domains", 0, POPT_ARG_INT, &domains, 0, "number of failure domains",
       "D"},
      {"changes", 0, POPT_ARG_INT, &changes, 0, "number of edits of the tables",
       "K"},
      {"services", 0, POPT_ARG_INT, &services, 0,
       "number of pools in the tables", "N"},
      {"fault", 0, POPT_ARG_STRING, &fault, 0, "none, herd, outage or storm",
       "FAULT"},
      {"mode", 0, POPT_ARG_STRING, &mode, 0,
       "full, or a baseline: poll_only or push_only", "MODE"},
      {"seed", 0, POPT_ARG_LONG, &seed, 0, "seed of all random choices", "S"},
      {"interval-ms", 0, POPT_ARG_INT, &interval_ms, 0,
       "time between two edits", "MS"},
      {"idle-s", 0, POPT_ARG_INT, &idle_s, 0,
       "idle measurement before the first edit", "S"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("measure_convergence", argc, argv, options, 0);
  const int end = poptGetNextOpt(context);
  const bool valid = end == -1 && poptPeekArg(context) == nullptr &&
                     kFaults.contains(fault) && hosts > 0 && domains > 0 &&
                     changes > 0 && services > 0;
  if (!valid) {
    std::fprintf(stderr, "measure_convergence: invalid options; see --help\n");
    poptFreeContext(context);
    return 2;
  }
  poptFreeContext(context);
  ConvergenceRun run({.hosts = static_cast<unsigned>(hosts),
                      .domains = static_cast<unsigned>(domains),
                      .changes = static_cast<unsigned>(changes),
                      .services = static_cast<unsigned>(services),
                      .fault = kFaults.at(fault),
                      .seed = static_cast<std::uint64_t>(seed),
                      .mode = mode,
                      .interval = camphor::Milliseconds(interval_ms),
                      .idle = camphor::Seconds(idle_s)});
  return run.Run() ? 0 : 1;
}
