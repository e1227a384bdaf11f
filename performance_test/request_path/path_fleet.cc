#include "performance_test/request_path/path_fleet.h"

#include <fmt/format.h>

#include <utility>

#include "harness/process_log.h"

namespace camphor {
namespace {

constexpr Milliseconds kDiscoveryTimeout{30'000};
constexpr unsigned kFirstTargetHost = 4;
constexpr unsigned kTargetHosts = 3;

constexpr std::string_view kTables = R"({
  "routes": [
    {"name": "work", "path_prefix": "/work", "pool": "p1", "timeout_ms": 1000},
    {"name": "read", "path_prefix": "/read", "pool": "p1", "timeout_ms": 1000,
     "repeatable": true},
    {"name": "once", "path_prefix": "/once", "pool": "p1", "timeout_ms": 1000,
     "at_most_once": true}],
  "pools": [{"name": "p1", "version": "v1", "slots_per_target": 100}]})";

std::string TargetId(unsigned number) { return fmt::format("t{}", number); }

std::string TargetHost(unsigned number) {
  return fmt::format("h{}", kFirstTargetHost + (number - 1) % kTargetHosts);
}

Fleet::Options FleetOptions(bool retry_budget) {
  Fleet::Options options;
  if (!retry_budget) {
    options.extra_settings = R"("proxy": {"retry_budget": false})";
  }
  return options;
}

}  // namespace

PathFleet::PathFleet(Options options)
    : options_(options), fleet_(FleetOptions(options.retry_budget)) {}

PathFleet::~PathFleet() {
  for (const auto& announcer : announcers_) announcer->Leave();
}

bool PathFleet::Start() {
  if (!fleet_.StartPlatform() || !fleet_.StartHosts()) return false;
  for (unsigned number = 1; number <= options_.targets; ++number) {
    if (!StartTarget(number)) return false;
  }
  const auto version = fleet_.Apply("h1", std::string(kTables));
  if (!version || !fleet_.AwaitVersion(*version, kDiscoveryTimeout))
    return false;
  for (unsigned number = 1; number <= options_.targets; ++number) {
    if (!fleet_.AwaitTarget(TargetId(number), true, kDiscoveryTimeout))
      return false;
  }
  return true;
}

bool PathFleet::StartTarget(unsigned number) {
  const std::string id = TargetId(number);
  const std::string host = TargetHost(number);
  Fleet::TargetOptions target{.host = host,
                              .id = id,
                              .slots = options_.slots,
                              .arguments = {"--history", "1"}};
  if (!options_.with_relay) return fleet_.StartTarget(target);

  // The target does not announce itself: the relay's address is announced
  // instead.
  target.arguments.insert(target.arguments.end(), {"--node", ""});
  if (!fleet_.StartTarget(target)) return false;
  relays_.push_back(std::make_unique<SilentRelay>(fleet_.target_endpoint(id)));
  announcers_.push_back(std::make_unique<
                        TargetAnnouncer>(TargetAnnouncer::Options{
      .node = fleet_.admin(host),
      .id = id,
      .announcement = fmt::format(
          R"({{"id":"{}","pool":"p1","version":"v1","address":"{}","slots":{}}})",
          id, relays_.back()->endpoint().ToString(), options_.slots),
      .log = [](const std::string&) {}}));
  announcers_.back()->Start();
  return true;
}

std::vector<Endpoint> PathFleet::callers() const {
  return {fleet_.caller("h1"), fleet_.caller("h2"), fleet_.caller("h3")};
}

std::vector<Endpoint> PathFleet::targets() const {
  std::vector<Endpoint> endpoints;
  for (unsigned number = 1; number <= options_.targets; ++number) {
    endpoints.push_back(fleet_.target_endpoint(TargetId(number)));
  }
  return endpoints;
}

std::size_t PathFleet::SilenceConnections() {
  std::size_t silenced = 0;
  for (const auto& relay : relays_) silenced += relay->Silence();
  return silenced;
}

PathFleet::Runs PathFleet::CollectRuns() const {
  Runs runs;
  for (const std::string& line : fleet_.History()) {
    if (FindLogField(line, "event") != "run") continue;
    ++runs.by_request[FindLogField(line, "request")];
    const std::string key = FindLogField(line, "key");
    if (!key.empty()) ++runs.by_key[key];
  }
  return runs;
}

}  // namespace camphor
