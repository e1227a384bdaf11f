#include "performance_test/convergence/fleet_usage.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <sstream>
#include <vector>

#include "stand_ins/http/http_connection.h"

namespace camphor {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

// User and system time are fields 14 and 15 of the line. The process name in
// parentheses may contain spaces.
double ReadCpuSeconds(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 3; field < 14; ++field) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t ReadResidentBytes(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

// Sums the mesh traffic metrics, in total and by purpose.
void ReadMeshMetrics(const std::string& text, HostUsage& usage,
                     std::map<std::string, std::uint64_t>& by_purpose) {
  constexpr std::string_view kTotal = "camphor_mesh_bytes_total{";
  constexpr std::string_view kPurpose =
      "camphor_mesh_purpose_bytes_total{purpose=\"";
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const auto value = static_cast<std::uint64_t>(
        std::strtod(line.c_str() + line.rfind(' ') + 1, nullptr));
    if (line.starts_with(kTotal)) usage.mesh_bytes += value;
    if (line.starts_with(kPurpose)) {
      const std::string rest = line.substr(kPurpose.size());
      by_purpose[rest.substr(0, rest.find('"'))] += value;
    }
  }
}

void ReadPlatform(Fleet& fleet, FleetUsage& usage) {
  HttpConnection connection(fleet.platform_endpoint());
  const auto answer =
      connection.Call({.method = "GET", .target = "/control/counters"});
  if (!answer || answer->status != 200) return;
  const boost::json::value counters = boost::json::parse(answer->body);
  usage.platform_reads = counters.at("reads").to_number<std::uint64_t>();
  usage.platform_writes = counters.at("writes").to_number<std::uint64_t>();
}

}  // namespace

FleetUsage FleetUsage::Read(Fleet& fleet) {
  FleetUsage usage{.at = std::chrono::steady_clock::now()};
  for (const std::string& name : fleet.running_hosts()) {
    HostUsage host{.pid = fleet.process(name)->pid()};
    host.cpu_s = ReadCpuSeconds(host.pid);
    host.rss_bytes = ReadResidentBytes(host.pid);
    const auto metrics = fleet.Admin(name).Get("/metrics");
    if (!metrics) continue;
    ReadMeshMetrics(*metrics, host, usage.bytes_by_purpose);
    usage.hosts.emplace(name, host);
  }
  ReadPlatform(fleet, usage);
  return usage;
}

UsageRates UsageRates::Between(const FleetUsage& before,
                               const FleetUsage& after) {
  UsageRates rates{
      .seconds = std::chrono::duration<double>(after.at - before.at).count()};
  double hosts = 0;
  std::vector<double> resident_mb;
  for (const auto& [name, now] : after.hosts) {
    resident_mb.push_back(static_cast<double>(now.rss_bytes) / kBytesPerMb);
    const auto then = before.hosts.find(name);
    if (then == before.hosts.end() || then->second.pid != now.pid) continue;
    ++hosts;
    rates.cpu_percent_per_host += 100 * (now.cpu_s - then->second.cpu_s);
    rates.mesh_bytes_per_host_per_s +=
        static_cast<double>(now.mesh_bytes - then->second.mesh_bytes);
  }
  std::ranges::sort(resident_mb);
  if (!resident_mb.empty()) {
    rates.rss_mb_median = resident_mb[resident_mb.size() / 2];
    rates.rss_mb_max = resident_mb.back();
  }
  const double host_seconds = std::max(1.0, hosts) * rates.seconds;
  rates.cpu_percent_per_host /= host_seconds;
  rates.mesh_bytes_per_host_per_s /= host_seconds;
  rates.platform_reads_per_s =
      static_cast<double>(after.platform_reads - before.platform_reads) /
      rates.seconds;
  rates.platform_writes_per_s =
      static_cast<double>(after.platform_writes - before.platform_writes) /
      rates.seconds;
  return rates;
}

}  // namespace camphor
