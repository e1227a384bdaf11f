#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "performance_test/load/load_client.h"
#include "performance_test/request_path/path_fleet.h"
#include "stand_ins/command_line.h"

namespace {

using camphor::LoadClient;
using camphor::LoadReport;
using camphor::Milliseconds;
using camphor::PathFleet;
using camphor::Seconds;

constexpr unsigned kOverloadSlots = 5;
constexpr std::uint32_t kOverloadWorkMs = 20;
constexpr unsigned kTargets = 3;
constexpr double kSecondMs = 1000;
constexpr Seconds kPhase{5};

/// Figures of the last line of the output.
struct Result {
  std::uint64_t requests = 0;
  std::int64_t added_p50_us = 0;
  std::int64_t added_p99_us = 0;
  double goodput_ratio = 1;
  std::uint64_t wrong = 0;
  std::uint64_t truncated = 0;
  std::uint64_t duplicate_runs = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t cut_in_flight = 0;
  std::uint64_t lost = 0;
};

void Print(const std::string& name, const LoadReport& report, Seconds time) {
  fmt::print("{:<12} {}\n", name,
             report.ToString(static_cast<double>(time.count())));
}

/// Adds the protocol violations of one load through the proxies to the result.
void AddLoad(const LoadReport& report, const PathFleet::Runs& runs,
             Result& result) {
  result.requests += report.sent;
  result.wrong += report.wrong;
  result.truncated += report.truncated;
  result.lost += report.broken + report.timed_out + report.unconnected;
  result.false_not_run += static_cast<std::uint64_t>(std::ranges::count_if(
      report.refused_ids,
      [&](const std::string& id) { return runs.by_request.contains(id); }));
}

/// Counts requests and idempotency keys that ran more than once. Only requests
/// of the repeatable route may.
std::uint64_t CountDuplicates(const PathFleet::Runs& runs) {
  std::uint64_t duplicates = 0;
  for (const auto& [id, count] : runs.by_request) {
    if (!id.starts_with("read") && count > 1) ++duplicates;
  }
  for (const auto& [key, count] : runs.by_key) duplicates += count > 1 ? 1 : 0;
  return duplicates;
}

/// Three loads through the proxies and one directly to the targets.
struct Loads {
  Loads(PathFleet& fleet, double rate, const std::string& name)
      : work({.endpoints = fleet.callers(),
              .rate = rate,
              .path = "/work",
              .method = "POST",
              .id_prefix = "work-" + name}),
        read({.endpoints = fleet.callers(),
              .rate = rate,
              .path = "/read",
              .id_prefix = "read-" + name}),
        once({.endpoints = fleet.callers(),
              .rate = rate / 4,
              .path = "/once",
              .method = "POST",
              .id_prefix = "once-" + name,
              .keyed = true}),
        direct({.endpoints = fleet.targets(),
                .rate = rate,
                .path = "/work",
                .method = "POST",
                .id_prefix = "direct-" + name}) {}

  LoadClient work;
  LoadClient read;
  LoadClient once;
  LoadClient direct;
};

bool RunNone(double rate, Result& result) {
  PathFleet fleet({});
  if (!fleet.Start()) {
    fmt::print(stderr, "measure_request_path: {}\n", fleet.last_reason());
    return false;
  }
  Loads warm_up(fleet, rate, "warm");
  LoadClient::RunAll({&warm_up.work, &warm_up.direct}, Seconds(2));
  Loads loads(fleet, rate, "m");
  LoadClient::RunAll({&loads.work, &loads.direct}, 2 * kPhase);
  Loads mixed(fleet, rate / 4, "x");
  LoadClient::RunAll({&mixed.work, &mixed.read, &mixed.once}, kPhase);
  Print("proxied", loads.work.report(), 2 * kPhase);
  Print("direct", loads.direct.report(), 2 * kPhase);
  Print("at_most_once", mixed.once.report(), kPhase);
  const auto added = [&](double share) {
    return std::int64_t{loads.work.report().Quantile(share)} -
           std::int64_t{loads.direct.report().Quantile(share)};
  };
  result.added_p50_us = added(0.5);
  result.added_p99_us = added(0.99);
  const PathFleet::Runs runs = fleet.CollectRuns();
  for (const LoadClient* load :
       {&loads.work, &mixed.work, &mixed.read, &mixed.once}) {
    AddLoad(load->report(), runs, result);
  }
  result.duplicate_runs = CountDuplicates(runs);
  return true;
}

bool RunOverload(bool retry_budget, Result& result) {
  PathFleet fleet({.slots = kOverloadSlots, .retry_budget = retry_budget});
  if (!fleet.Start()) {
    fmt::print(stderr, "measure_request_path: {}\n", fleet.last_reason());
    return false;
  }
  const double capacity =
      kTargets * kOverloadSlots * kSecondMs / kOverloadWorkMs;
  std::vector<LoadReport> reports;
  // The last phase returns to half of the capacity, to measure the recovery.
  for (const double times : {0.5, 1.0, 2.0, 4.0, 0.5}) {
    LoadClient load({.endpoints = fleet.callers(),
                     .rate = capacity * times,
                     .path = "/read",
                     .id_prefix = fmt::format("read-{}", reports.size()),
                     .work_ms = kOverloadWorkMs,
                     .deadline = Milliseconds(300)});
    load.Run(kPhase);
    reports.push_back(load.report());
    Print(fmt::format("load_x{}", times), reports.back(), kPhase);
  }
  const auto goodput = [&](std::size_t phase) {
    return static_cast<double>(reports[phase].good);
  };
  result.goodput_ratio = goodput(3) / std::max(goodput(1), 1.0);
  fmt::print("recovery     good_share_after={:.4f} good_share_before={:.4f}\n",
             goodput(4) / static_cast<double>(reports[4].sent),
             goodput(0) / static_cast<double>(reports[0].sent));
  const PathFleet::Runs runs = fleet.CollectRuns();
  for (const LoadReport& report : reports) AddLoad(report, runs, result);
  result.duplicate_runs = CountDuplicates(runs);
  return true;
}

/// Runs the three loads while `fault` runs on a separate thread, and compares
/// the goodput with that of the same loads before the fault.
bool RunFault(double rate, PathFleet::Options options,
              const std::function<void(PathFleet&)>& fault,
              const std::vector<std::string>& drained_hosts, Result& result) {
  PathFleet fleet(options);
  if (!fleet.Start()) {
    fmt::print(stderr, "measure_request_path: {}\n", fleet.last_reason());
    return false;
  }
  Loads before(fleet, rate, "before");
  LoadClient::RunAll({&before.work, &before.read, &before.once}, kPhase);
  Loads during(fleet, rate, "during");
  std::thread fault_thread([&] { fault(fleet); });
  LoadClient::RunAll({&during.work, &during.read, &during.once}, 2 * kPhase);
  fault_thread.join();
  const PathFleet::Runs runs = fleet.CollectRuns();
  std::uint64_t good_before = 0;
  std::uint64_t good_during = 0;
  for (const LoadClient* load : {&before.work, &before.read, &before.once}) {
    AddLoad(load->report(), runs, result);
    good_before += load->report().good;
  }
  for (const LoadClient* load : {&during.work, &during.read, &during.once}) {
    AddLoad(load->report(), runs, result);
    good_during += load->report().good;
  }
  Print("work", during.work.report(), 2 * kPhase);
  Print("read", during.read.report(), 2 * kPhase);
  Print("at_most_once", during.once.report(), 2 * kPhase);
  // A drained host must not break connections with requests in flight.
  if (!drained_hosts.empty()) {
    result.cut_in_flight = during.work.report().broken +
                           during.read.report().broken +
                           during.once.report().broken;
  }
  result.goodput_ratio =
      static_cast<double>(good_during) / 2 /
      static_cast<double>(std::max<std::uint64_t>(good_before, 1));
  result.duplicate_runs = CountDuplicates(runs);
  return true;
}

void Pause(Milliseconds time) { std::this_thread::sleep_for(time); }

void SilenceTwice(PathFleet& fleet) {
  for (int time = 0; time < 2; ++time) {
    Pause(Seconds(2));
    fmt::print("silenced     connections={}\n", fleet.SilenceConnections());
  }
}

/// Kills a target and the host of another target, and drains a host that
/// receives callers.
void KillAndDrain(PathFleet& fleet, std::mt19937_64& random) {
  Pause(Seconds(1));
  const std::string target = fmt::format("t{}", 1 + random() % kTargets);
  fleet.fleet().process(target)->Kill();
  Pause(Seconds(2));
  // Choose a host whose target is still alive.
  const std::string host = target == "t3" ? "h4" : "h6";
  fleet.fleet().process(host)->Kill();
  Pause(Seconds(2));
  fleet.fleet().process("h3")->Terminate();
  fmt::print("killed       target={} host={} drained=h3\n", target, host);
}

void InjectPlatformOutage(PathFleet& fleet) {
  Pause(Seconds(2));
  fleet.fleet().ControlPlatform(R"({"mode": "out"})");
  Pause(Seconds(4));
  fleet.fleet().ControlPlatform(R"({"mode": "up"})");
}

}  // namespace

int main(int argc, const char** argv) {
  camphor::CommandLine line(
      {{.name = "seed", .help = "seed of random choices", .fallback = "1"},
       {.name = "fault",
        .help = "none, overload, silent, kills or outage",
        .fallback = "none"},
       {.name = "rate",
        .help = "requests per second of each load",
        .fallback = "400"},
       {.name = "retry-budget", .help = "0 disables it", .fallback = "1"}});
  const bool parsed = line.Parse(argc, argv);
  const auto seed = line.Number("seed");
  const auto rate_number = line.Number("rate");
  if (!parsed || !seed || !rate_number || *rate_number < 1) {
    fmt::print(stderr, "measure_request_path: bad command line: {}\n",
               line.last_reason());
    return 2;
  }
  std::mt19937_64 random(static_cast<std::uint64_t>(*seed));
  const auto rate = static_cast<double>(*rate_number);
  const std::string fault = line.Text("fault");
  Result result;
  bool ran = false;
  if (fault == "none") {
    ran = RunNone(rate, result);
  } else if (fault == "overload") {
    ran = RunOverload(line.Text("retry-budget") != "0", result);
  } else if (fault == "silent") {
    ran = RunFault(rate, {.with_relay = true}, SilenceTwice, {}, result);
  } else if (fault == "kills") {
    ran = RunFault(
        rate, {.slots = 20},
        [&](PathFleet& fleet) { KillAndDrain(fleet, random); }, {"h3"}, result);
  } else if (fault == "outage") {
    ran = RunFault(rate, {}, InjectPlatformOutage, {}, result);
  } else {
    fmt::print(stderr, "measure_request_path: unknown fault {}\n", fault);
    return 2;
  }
  if (!ran) return 1;
  fmt::print(
      "requests={} added_p50_us={} added_p99_us={} goodput_ratio={:.3f} "
      "wrong_answers={} truncated_answers={} duplicate_runs={} "
      "false_not_run={} cut_in_flight={} lost={}\n",
      result.requests, result.added_p50_us, result.added_p99_us,
      result.goodput_ratio, result.wrong, result.truncated,
      result.duplicate_runs, result.false_not_run, result.cut_in_flight,
      result.lost);
  return 0;
}
