#include "performance_test/convergence/convergence_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "harness/history/history_reader.h"

namespace camphor {
namespace {

constexpr double kChangesPerSecond = 1100.0 / 86'400;
constexpr Milliseconds kHerdDowntime{2000};
constexpr Milliseconds kSettleTime{6000};

}  // namespace

ConvergenceRun::ConvergenceRun(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      fleet_({.hosts = options_.hosts,
              .domains = options_.domains,
              .history = true,
              .extra_settings = fmt::format(
                  R"("replication": {{"mode": "{}"}})", options_.mode),
              .ready_timeout = Milliseconds(30'000)}) {}

bool ConvergenceRun::Run() {
  if (!Start()) {
    fmt::print(stderr, "measure_convergence: {}\n", fleet_.last_reason());
    return false;
  }
  Pause(kSettleTime);
  const FleetUsage begin = FleetUsage::Read(fleet_);
  Pause(options_.idle);
  const FleetUsage idle_end = FleetUsage::Read(fleet_);
  for (unsigned change = 0; change < options_.changes; ++change) {
    InjectFault(change);
    Edit();
    Pause(options_.interval);
  }
  Thaw();
  fleet_.AwaitVersion(version_, options_.limit);
  const FleetUsage end = FleetUsage::Read(fleet_);
  ReadHistoryLines(fleet_.History(), history_);
  Print(begin, idle_end, end);
  return true;
}

bool ConvergenceRun::Start() {
  if (!fleet_.StartPlatform() || !fleet_.StartHosts()) return false;
  hosts_ = fleet_.running_hosts();
  return Edit();
}

bool ConvergenceRun::Edit() {
  if (options_.fault == Fault::kOutage)
    fleet_.ControlPlatform(R"({"mode": "up"})");
  const std::string host = PickReadyHost();
  AdminClient admin = fleet_.Admin(host);
  const EventTime sent = Now();
  const AdminClient::EditResult result = admin.PutConfig(Tables(), version_);
  if (options_.fault == Fault::kOutage)
    fleet_.ControlPlatform(R"({"mode": "out"})");
  if (result.status != 200) {
    fmt::print(stderr, "measure_convergence: edit rejected: {}\n", result.body);
    return false;
  }
  version_ = result.version;
  history_.edits.push_back({.sent = sent,
                            .ended = Now(),
                            .editor = host,
                            .base = version_ - 1,
                            .outcome = EditOutcome::kAccepted,
                            .version = version_});
  return true;
}

void ConvergenceRun::InjectFault(unsigned change) {
  switch (options_.fault) {
    case Fault::kNone:
      return;
    case Fault::kHerd:
      if (change == options_.changes / 3)
        KillAndRestart(options_.hosts / 3, kHerdDowntime);
      return;
    case Fault::kOutage:
      KillAndRestart(1, Milliseconds(0));
      return;
    case Fault::kStorm:
      if (change == 0) Freeze(options_.hosts / 6);
      KillAndRestart(options_.hosts / 3, Milliseconds(0));
      return;
  }
}

void ConvergenceRun::KillAndRestart(unsigned count, Milliseconds pause) {
  std::vector<std::string> eligible;
  for (const std::string& host : hosts_)
    if (!frozen_.contains(host)) eligible.push_back(host);
  std::vector<std::string> chosen;
  std::ranges::sample(eligible, std::back_inserter(chosen), count, random_);
  for (const std::string& host : chosen) fleet_.process(host)->Kill();
  Pause(pause);
  for (const std::string& host : chosen) {
    restarts_[host].push_back(Now());
    fleet_.StartHost(host);
  }
}

void ConvergenceRun::Freeze(unsigned count) {
  std::vector<std::string> chosen;
  std::ranges::sample(hosts_, std::back_inserter(chosen), count, random_);
  for (const std::string& host : chosen) fleet_.process(host)->Freeze();
  frozen_.insert(chosen.begin(), chosen.end());
}

void ConvergenceRun::Thaw() {
  // A frozen host cannot receive changes: measure them from its resumption.
  for (const std::string& host : frozen_) {
    restarts_[host].push_back(Now());
    fleet_.process(host)->Thaw();
  }
  frozen_.clear();
}

void ConvergenceRun::Pause(Milliseconds time) {
  std::this_thread::sleep_for(time);
}

std::string ConvergenceRun::Tables() const {
  // Consecutive versions differ in one pool, as in a typical edit.
  const auto changed = version_ % options_.services;
  std::string routes;
  std::string pools;
  for (unsigned service = 0; service < options_.services; ++service) {
    const char* comma = service + 1 < options_.services ? "," : "";
    const auto version =
        version_ / options_.services + (service <= changed ? 1 : 0);
    routes += fmt::format(
        R"({{"name": "get-{0}", "path_prefix": "/service-{0}", "methods": ["GET"], "pool": "service-{0}", "repeatable": true}},
           {{"name": "post-{0}", "path_prefix": "/service-{0}", "methods": ["POST"], "pool": "service-{0}"}}{1})",
        service, comma);
    pools += fmt::format(R"({{"name": "service-{}", "version": "v{}"}}{})",
                         service, version, comma);
  }
  return fmt::format(R"({{"routes": [{}], "pools": [{}]}})", routes, pools);
}

std::string ConvergenceRun::PickReadyHost() {
  // A recently restarted host may not accept edits yet.
  std::vector<std::string> candidates;
  for (const std::string& host : fleet_.running_hosts())
    if (!frozen_.contains(host) && fleet_.Admin(host).Ready())
      candidates.push_back(host);
  if (candidates.empty()) return hosts_.front();
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  return candidates[draw(random_)];
}

void ConvergenceRun::Print(const FleetUsage& begin, const FleetUsage& idle_end,
                           const FleetUsage& end) {
  const UsageRates idle = UsageRates::Between(begin, idle_end);
  const UsageRates busy = UsageRates::Between(idle_end, end);
  const UsageRates all = UsageRates::Between(begin, end);
  const ConvergenceReport report =
      ConvergenceReport::Of(history_, hosts_, restarts_);

  // Cost of a change above idle, and the total at the daily rate of changes.
  const double bytes_per_change =
      (busy.mesh_bytes_per_host_per_s - idle.mesh_bytes_per_host_per_s) *
      busy.seconds / options_.changes;
  const double cpu_s_per_change =
      (busy.cpu_percent_per_host - idle.cpu_percent_per_host) / 100 *
      busy.seconds / options_.changes;
  const bool steady = options_.fault == Fault::kNone;
  const double bytes = steady ? idle.mesh_bytes_per_host_per_s +
                                    bytes_per_change * kChangesPerSecond
                              : all.mesh_bytes_per_host_per_s;
  const double cpu = steady ? idle.cpu_percent_per_host +
                                  100 * cpu_s_per_change * kChangesPerSecond
                            : all.cpu_percent_per_host;

  fmt::print(
      "idle: bytes_per_host_per_s={:.0f} cpu_percent_per_host={:.3f} "
      "platform_reads_per_s={:.2f} rss_mb_median={:.1f}\n",
      idle.mesh_bytes_per_host_per_s, idle.cpu_percent_per_host,
      idle.platform_reads_per_s, all.rss_mb_median);
  fmt::print("change: bytes_per_host={:.0f} cpu_ms_per_host={:.2f}\n",
             bytes_per_change, 1000 * cpu_s_per_change);
  for (const auto& [purpose, total] : end.bytes_by_purpose) {
    const auto before = begin.bytes_by_purpose.find(purpose);
    const auto base =
        before == begin.bytes_by_purpose.end() ? 0 : before->second;
    fmt::print("purpose: {}={:.1f} encoded bytes sent a host and second\n",
               purpose,
               static_cast<double>(total - std::min(total, base)) /
                   (all.seconds * options_.hosts));
  }
  fmt::print(
      "hosts={} changes={} convergence_p50_ms={:.0f} convergence_p99_ms={:.0f} "
      "convergence_max_ms={:.0f} control_bytes_per_host_per_s={:.0f} "
      "cpu_percent_per_host={:.3f} rss_mb_max={:.1f} "
      "platform_reads_per_s={:.2f} "
      "platform_writes_per_s={:.2f} stale_hosts={} reversions={}\n",
      options_.hosts, options_.changes, report.Quantile(0.5),
      report.Quantile(0.99), report.Quantile(1), bytes, cpu, all.rss_mb_max,
      idle.platform_reads_per_s, all.platform_writes_per_s, report.stale_hosts,
      report.reversions);
}

EventTime ConvergenceRun::Now() {
  return std::chrono::duration_cast<EventTime>(
      std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace camphor
