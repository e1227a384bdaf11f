#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "unit_tests/core/replication/fake_mesh.h"

// Compares settings of the failure detector: the number of watchers of a host
// and the number of suspicions needed to declare it dead. Reports the false
// positive rate and the detection time. Runs the replicator on the simulated
// network of the unit tests; deterministic for a seed.

namespace camphor {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr int kHosts = 45;
constexpr int kDomains = 3;
constexpr Seconds kSteadyTime{900};
constexpr Seconds kPause{8};
constexpr int kKills = 8;

struct Variant {
  std::uint32_t domain_rings = 2;
  std::uint32_t global_rings = 1;
  std::uint32_t needed = 2;
};

struct Outcome {
  std::uint64_t suspicions = 0;    // raised while all hosts were alive
  std::uint64_t confirmed = 0;     // suspicions that were confirmed
  std::uint64_t false_deaths = 0;  // live hosts declared dead
  std::uint64_t messages = 0;      // sent while all hosts were alive
  std::vector<double> detect_s{};  // until all hosts detected a death
};

std::uint64_t SumSuspicions(FakeMesh& mesh, std::string_view field) {
  std::uint64_t sum = 0;
  for (int host = 0; host < kHosts; ++host) {
    const auto dump = boost::json::parse(mesh.at(host).DumpJson());
    sum += dump.at("suspicions").at(field).to_number<std::uint64_t>();
  }
  return sum;
}

int CountDeadHosts(FakeMesh& mesh) {
  return static_cast<int>(
      std::ranges::count_if(mesh.at(0).hosts(), [](const auto& entry) {
        return entry.second.status == HostStatus::kDead;
      }));
}

// All hosts are alive. Messages are lost and one host at a time pauses.
void RunWithoutFailures(FakeMesh& mesh, Outcome& outcome) {
  const std::uint64_t before = mesh.messages();
  int dead = 0;
  for (Seconds passed{0}; passed < kSteadyTime; passed += kPause) {
    const int paused = static_cast<int>(passed / kPause) % kHosts;
    mesh.Freeze(paused);
    mesh.Run(kPause / 2);
    mesh.Thaw(paused);
    mesh.Run(kPause / 2);
    const int now_dead = CountDeadHosts(mesh);
    outcome.false_deaths +=
        static_cast<std::uint64_t>(std::max(0, now_dead - dead));
    dead = now_dead;
  }
  outcome.messages = mesh.messages() - before;
  outcome.suspicions = SumSuspicions(mesh, "raised");
  outcome.confirmed = SumSuspicions(mesh, "confirmed");
}

// Hosts fail one after another without closing their connections.
void RunHostFailures(FakeMesh& mesh, Outcome& outcome) {
  for (int kill = 0; kill < kKills; ++kill) {
    const int host = 3 + kill * 5;
    mesh.Freeze(host);
    const MonoTime start = mesh.now();
    const HostId id(fmt::format("h{}", host));
    mesh.RunUntil(
        [&] {
          for (int other = 0; other < kHosts; ++other) {
            if (other == host) continue;
            if (mesh.at(other).hosts().at(id).status != HostStatus::kDead)
              return false;
          }
          return true;
        },
        120s);
    outcome.detect_s.push_back(
        std::chrono::duration<double>(mesh.now() - start).count());
    mesh.Thaw(host);
    mesh.Run(30s);
  }
}

void Report(const Variant& variant, double loss, std::uint64_t seed) {
  ReplicatorSettings settings;
  settings.domain_rings = variant.domain_rings;
  settings.global_rings = variant.global_rings;
  settings.suspicions_needed = variant.needed;
  FakeMesh mesh({.hosts = kHosts,
                 .domains = kDomains,
                 .seed = seed,
                 .loss = loss,
                 .settings = settings});
  mesh.Run(60s);
  Outcome outcome;
  RunWithoutFailures(mesh, outcome);
  RunHostFailures(mesh, outcome);
  std::ranges::sort(outcome.detect_s);
  const double host_hours = kHosts * (kSteadyTime.count() / 3600.0);
  fmt::print(
      "watchers={} needed={} loss={:.2f} suspicions_per_host_hour={:.2f} "
      "confirmed_per_host_hour={:.2f} false_deaths_per_host_hour={:.3f} "
      "detect_p50_s={:.1f} detect_max_s={:.1f} "
      "messages_per_host_per_s={:.2f}\n",
      2 * (variant.domain_rings + variant.global_rings), variant.needed, loss,
      static_cast<double>(outcome.suspicions) / host_hours,
      static_cast<double>(outcome.confirmed) / host_hours,
      static_cast<double>(outcome.false_deaths) / host_hours,
      outcome.detect_s[outcome.detect_s.size() / 2], outcome.detect_s.back(),
      static_cast<double>(outcome.messages) /
          static_cast<double>(kHosts * kSteadyTime.count()));
}

}  // namespace
}  // namespace camphor

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::vector<camphor::Variant> variants = {
      {.domain_rings = 1, .global_rings = 0, .needed = 1},
      {.domain_rings = 1, .global_rings = 0, .needed = 2},
      {.domain_rings = 1, .global_rings = 1, .needed = 1},
      {.domain_rings = 1, .global_rings = 1, .needed = 2},
      {.domain_rings = 1, .global_rings = 1, .needed = 3},
      {.domain_rings = 2, .global_rings = 1, .needed = 1},
      {.domain_rings = 2, .global_rings = 1, .needed = 2},
      {.domain_rings = 2, .global_rings = 1, .needed = 3},
      {.domain_rings = 3, .global_rings = 1, .needed = 2},
  };
  for (const double loss : {0.02, 0.2, 0.4})
    for (const camphor::Variant& variant : variants)
      camphor::Report(variant, loss, seed);
  return 0;
}
