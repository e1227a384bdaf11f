#include "performance_test/demo/demo_scenario.h"

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "core/base/wall_time_text.h"

namespace camphor {
namespace {

constexpr unsigned kHosts = 6;
constexpr unsigned kDomains = 3;

/// Rollouts complete within seconds, and responses carry the target version.
constexpr char kSettings[] =
    R"("proxy": {"debug_headers": true},
       "rollout": {"period_ms": 500, "settle_ms": 1000,
                   "shortest_canary_ms": 2500, "shortest_step_ms": 300},
       "drain": {"notice_ms": 500, "limit_ms": 5000})";

constexpr char kFirstBilling[] = R"({"name": "billing", "version": "v1"})";

WallTime WallNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
}

double SecondsSince(MonoTime start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

std::string Traffic(const DemoCounts& counts) {
  std::string versions;
  for (const auto& [version, count] : counts.by_version) {
    if (count > 0) versions += fmt::format(", {} by {}", count, version);
  }
  return fmt::format(
      "{} requests: {} answered whole{}, {} errors, {} refused "
      "as not run, {} without an answer",
      counts.sent, counts.answered, versions, counts.errors, counts.refused,
      counts.no_answer);
}

}  // namespace

DemoScenario::DemoScenario(std::string programs)
    : programs_(std::move(programs)),
      started_(std::chrono::steady_clock::now()) {}

bool DemoScenario::Run() {
  if (!StartFleet()) return false;
  ApplyFirstTables();
  SendRequests();
  GoodRollout();
  BadRollout();
  RacingOperators();
  KillAndRestart();
  PlatformOutage();
  DrainHost();
  Summarize();
  return std::ranges::all_of(expectations_, &Expectation::met);
}

bool DemoScenario::StartFleet() {
  PrintHeading("A platform and six hosts in three failure domains start");
  fleet_ = std::make_unique<Fleet>(Fleet::Options{.programs = programs_,
                                                  .hosts = kHosts,
                                                  .domains = kDomains,
                                                  .log_level = "info",
                                                  .extra_settings = kSettings});
  const MonoTime begin = std::chrono::steady_clock::now();
  const bool ready = fleet_->StartPlatform() && fleet_->StartHosts();
  if (!ready) fmt::print("  {}\n", fleet_->last_reason());
  Check(fmt::format("every host is ready ({:.1f} s)", SecondsSince(begin)),
        ready);
  const bool targets = ready &&
                       StartTargets("billing", "v1", {"h1", "h2", "h3"}, "") &&
                       StartTargets("ordering", "v1", {"h4", "h5", "h6"}, "");
  if (!targets) fmt::print("  {}\n", fleet_->last_reason());
  Check("targets announce themselves: three of billing, three of ordering",
        targets);
  return targets;
}

void DemoScenario::ApplyFirstTables() {
  PrintHeading("An operator applies the tables of routes and pools");
  const std::string file = WriteTables(kFirstBilling);
  Check("the edit is accepted and in force on every host",
        Ctl({"apply", file, "--wait"}, Seconds(10)) == 0);
}

void DemoScenario::SendRequests() {
  PrintHeading("Callers send requests to every host");
  std::vector<Endpoint> hosts;
  for (unsigned number = 1; number <= kHosts; ++number) {
    hosts.push_back(fleet_->caller("h" + std::to_string(number)));
  }
  load_ = std::make_unique<DemoLoad>(DemoLoad::Options{
      .hosts = std::move(hosts), .paths = {"/billing/bill", "/orders/list"}});
  constexpr std::uint64_t kSome = 500;
  const bool served = WaitUntil(
      Seconds(10), [this] { return load_->counts().answered >= kSome; });
  const DemoCounts counts = load_->counts();
  fmt::print("  {}\n", Traffic(counts));
  Check("every answer is whole and the caller's own",
        served && counts.answered == counts.sent);
}

void DemoScenario::GoodRollout() {
  PrintHeading("A good version: billing moves from v1 to v2");
  const bool started = StartTargets("billing", "v2", {"h1", "h2", "h3"}, "");
  const std::string file = WriteTables(RolloutRow("v1", "v2", Seconds(14)));
  const DemoCounts before = load_->counts();
  const bool applied = started && Ctl({"apply", file}, Seconds(10)) == 0;
  const int watched = Ctl(
      {"watch", "rollout", "billing/v1/v2/1", "--timeout", "40"}, Seconds(45));
  const DemoCounts counts = Difference(before, load_->counts());
  fmt::print("  {}\n", Traffic(counts));
  Check("the good version has taken over", applied && watched == 0);
  Check("no request failed meanwhile", counts.answered == counts.sent);
  // The operator makes the new version the pool's configured version.
  Check("v2 is now the pool's version",
        Ctl({"apply", WriteTables(R"({"name": "billing", "version": "v2"})"),
             "--wait"},
            Seconds(10)) == 0);
}

void DemoScenario::BadRollout() {
  PrintHeading("A bad version: v3 fails a third of its requests");
  const bool started = StartTargets("billing", "v3", {"h1", "h2", "h3"},
                                    R"({"faults": [{"error_ppm": 333000}]})");
  const std::string file = WriteTables(RolloutRow("v2", "v3", Seconds(30)));
  const DemoCounts before = load_->counts();
  const bool applied = started && Ctl({"apply", file}, Seconds(10)) == 0;
  const int watched = Ctl(
      {"watch", "rollout", "billing/v2/v3/1", "--timeout", "40"}, Seconds(45));
  const DemoCounts counts = Difference(before, load_->counts());
  fmt::print("  {}\n", Traffic(counts));
  constexpr int kRolledBack = 4;
  Check("the bad version was rolled back", applied && watched == kRolledBack);
  const auto bad = counts.by_version.find("v3");
  const std::uint64_t got = bad == counts.by_version.end() ? 0 : bad->second;
  constexpr std::uint64_t kMinRequestsPerBad = 10;
  Check(
      fmt::format("it got {} of {} requests, a small share", got, counts.sent),
      got * kMinRequestsPerBad < counts.sent);
  const DemoCounts after = load_->counts();
  std::this_thread::sleep_for(Seconds(2));
  const DemoCounts later = Difference(after, load_->counts());
  const auto still = later.by_version.find("v3");
  Check("and none since",
        still == later.by_version.end() || still->second == 0);
}

void DemoScenario::RacingOperators() {
  PrintHeading("Two operators edit the same version at once");
  AdminClient first = fleet_->Admin("h1");
  const std::uint64_t base = first.Version().value_or(0);
  const std::string file = WriteTables(
      R"({"name": "billing", "version": "v2", "slots_per_target": 12})");
  const std::string other = WriteTables(
      R"({"name": "billing", "version": "v2", "slots_per_target": 14})");
  const std::string from = std::to_string(base);
  const int winner =
      Ctl({"apply", file, "--base", from, "--wait"}, Seconds(10));
  const int loser = Ctl({"apply", other, "--base", from}, Seconds(10));
  constexpr int kConflict = 3;
  Check("one wins, the other is told of a conflict",
        winner == 0 && loser == kConflict);
}

void DemoScenario::KillAndRestart() {
  PrintHeading("Two hosts die at once and come back with empty memory");
  const std::uint64_t before = fleet_->Admin("h1").Version().value_or(0);
  fleet_->process("h4")->Kill();
  fleet_->process("h5")->Kill();
  fmt::print("  h4 and h5 killed\n");
  std::this_thread::sleep_for(Seconds(1));
  const bool back = fleet_->StartHost("h4") && fleet_->StartHost("h5") &&
                    fleet_->AwaitReady("h4") && fleet_->AwaitReady("h5");
  const bool newest = fleet_->AwaitVersion(before, Seconds(5));
  Check("both are back and serve no older version", back && newest);
  const DemoCounts since = load_->counts();
  std::this_thread::sleep_for(Seconds(1));
  const DemoCounts counts = Difference(since, load_->counts());
  fmt::print("  {}\n", Traffic(counts));
  Check("requests are answered again everywhere",
        counts.answered > 0 && counts.no_answer == 0);
}

void DemoScenario::PlatformOutage() {
  PrintHeading("The platform is out");
  const bool out = fleet_->ControlPlatform(R"({"mode": "out"})");
  const DemoCounts before = load_->counts();
  const int refused = Ctl({"apply", WriteTables(kFirstBilling)}, Seconds(30));
  const DemoCounts counts = Difference(before, load_->counts());
  fmt::print("  {}\n", Traffic(counts));
  Check("an edit is refused with a clear error", out && refused == 1);
  Check("callers notice nothing", counts.answered == counts.sent);
  Check(
      "the platform is back and the same edit is accepted",
      fleet_->ControlPlatform(R"({"mode": "up"})") &&
          Ctl({"apply", WriteTables(R"({"name": "billing", "version": "v2"})"),
               "--wait"},
              Seconds(10)) == 0);
}

void DemoScenario::DrainHost() {
  PrintHeading("A host is drained");
  const DemoCounts before = load_->counts();
  const int asked =
      Ctl({"drain", "--nodes", fleet_->admin("h6").ToString()}, Seconds(10));
  const auto exit = fleet_->process("h6")->AwaitExit(Seconds(10));
  const DemoCounts counts = Difference(before, load_->counts());
  fmt::print("  {}\n", Traffic(counts));
  Check("it finished what was in flight and exited with 0",
        asked == 0 && exit == 0);
}

void DemoScenario::Summarize() {
  const DemoCounts counts = load_->counts();
  load_.reset();
  PrintHeading("Everything stops");
  Check("no caller ever got another's answer or a part of one",
        counts.wrong == 0);
  fleet_.reset();
  const auto met = std::ranges::count_if(expectations_, &Expectation::met);
  fmt::print("\n{} of {} promises kept in {:.1f} s; {}\n", met,
             expectations_.size(), SecondsSince(started_), Traffic(counts));
  for (const Expectation& expectation : expectations_) {
    if (!expectation.met) fmt::print("NOT KEPT: {}\n", expectation.sentence);
  }
}

void DemoScenario::PrintHeading(const std::string& title) {
  fmt::print("\n[{:5.1f} s] {}\n", SecondsSince(started_), title);
  std::fflush(stdout);
}

void DemoScenario::Check(const std::string& sentence, bool met) {
  fmt::print("  {} {}\n", met ? "ok  " : "FAIL", sentence);
  std::fflush(stdout);
  expectations_.push_back({.sentence = sentence, .met = met});
}

int DemoScenario::Ctl(std::vector<std::string> arguments,
                      Milliseconds timeout) {
  std::string shown = "  $ camphorctl";
  for (const std::string& argument : arguments) shown += " " + argument;
  fmt::print("{}\n", shown);
  std::fflush(stdout);
  if (std::ranges::find(arguments, "--nodes") == arguments.end()) {
    arguments.insert(arguments.end(),
                     {"--nodes", fleet_->admin("h1").ToString() + "," +
                                     fleet_->admin("h2").ToString()});
  }
  const std::string token = (fleet_->folder() / "operator_token").string();
  arguments.insert(arguments.end(), {"--token-file", token});
  std::string reason;
  const auto process = Process::Start({.name = "camphorctl",
                                       .program = programs_ + "/camphorctl",
                                       .arguments = std::move(arguments)},
                                      reason);
  if (process == nullptr) {
    fmt::print("  {}\n", reason);
    return -1;
  }
  const std::optional<int> exit = process->AwaitExit(timeout);
  constexpr std::size_t kMaxLines = 12;
  const std::string errors = process->log().Tail(kMaxLines);
  if (!errors.empty()) fmt::print("{}", errors);
  std::fflush(stdout);
  return exit.value_or(-1);
}

std::string DemoScenario::WriteTables(const std::string& billing) {
  const std::string tables = fmt::format(
      R"({{
  "routes": [
    {{"name": "bills", "path_prefix": "/billing", "pool": "billing", "repeatable": true}},
    {{"name": "orders", "path_prefix": "/orders", "pool": "ordering", "repeatable": true}},
  ],
  "pools": [
    {},
    {{"name": "ordering", "version": "v1"}},
  ],
}}
)",
      billing);
  const std::filesystem::path file =
      fleet_->folder() / fmt::format("tables_{}.json", ++tables_written_);
  std::ofstream(file) << tables;
  std::ofstream(fleet_->folder() / "operator_token")
      << fleet_->operator_token() << "\n";
  return file.string();
}

std::string DemoScenario::RolloutRow(const std::string& from,
                                     const std::string& to, Seconds time) {
  return fmt::format(
      R"({{"name": "billing", "version": "{}", "rollout":
      {{"version": "{}", "complete_by": "{}", "bake_s": 2}}}})",
      from, to, FormatWallTime(WallNow() + time));
}

bool DemoScenario::StartTargets(const std::string& pool,
                                const std::string& version,
                                const std::vector<std::string>& hosts,
                                const std::string& faults) {
  std::vector<std::string> ids;
  for (const std::string& host : hosts) {
    Fleet::TargetOptions target{
        .host = host,
        .id = fmt::format("{}-{}-{}", pool, version, host),
        .pool = pool,
        .version = version};
    if (!faults.empty()) target.arguments = {"--faults", faults};
    if (!fleet_->StartTarget(target)) return false;
    ids.push_back(target.id);
  }
  return std::ranges::all_of(ids, [this](const std::string& id) {
    return fleet_->AwaitTarget(id, true, Seconds(5));
  });
}

}  // namespace camphor
