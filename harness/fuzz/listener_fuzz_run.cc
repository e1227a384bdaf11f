#include "harness/fuzz/listener_fuzz_run.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <map>
#include <utility>

#include "core/base/digest.h"
#include "stand_ins/http/http_connection.h"

namespace camphor {
namespace {

/// Only ends runs that hang.
constexpr Milliseconds kMaxWait{60'000};
constexpr Milliseconds kExitTime{30'000};
/// Rounds between two checks of the process.
constexpr std::uint64_t kBatch = 10;
/// Descriptors that may stay open after all fuzzed connections were closed: for
/// connections to the targets and the platform, as in the tests of crowds
/// (scenario_tests/untrusted_callers).
constexpr std::size_t kMaxMoreDescriptors = 64;
constexpr const char* kHost = "h1";
constexpr std::array<const char*, 2> kTargets = {"t1", "t2"};

/// Words that a report of a sanitizer contains.
constexpr std::array<const char*, 4> kReports = {
    "Sanitizer", "runtime error:", "terminate called", "Assertion"};

std::string TextField(const boost::json::value& run, const char* field) {
  return std::string(run.at(field).as_string());
}

}  // namespace

std::string MakeFuzzTables(unsigned queue) {
  return fmt::format(
      R"({{
  "routes": [
    {{"name": "served", "path_prefix": "{}", "pool": "p1", "repeatable": true,
      "public": true, "timeout_ms": 20000}},
    {{"name": "once", "path_prefix": "{}", "pool": "p1", "at_most_once": true,
      "public": true, "timeout_ms": 20000}},
    {{"name": "keyed", "path_prefix": "{}", "pool": "p1"}}],
  "pools": [{{"name": "p1", "version": "v1", "queue_per_target": {}}}],
  "teams": [{{"name": "team", "key_digests": ["{}"]}}],
  "limits": {{"header_bytes": {}, "body_bytes": {},
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}}})",
      kFuzzServedPath, kFuzzOncePath, kFuzzKeyedPath, queue,
      Digest::Of("fuzz-key").hex(), kFuzzHeaderBytes, kFuzzBodyBytes);
}

ListenerFuzzRun::ListenerFuzzRun(Options options)
    : options_(std::move(options)) {}

ListenerFuzzRun::~ListenerFuzzRun() = default;

bool ListenerFuzzRun::Run() {
  if (!Start()) return false;
  for (std::uint64_t done = 0; done < options_.rounds; ++done) {
    if (!PlayRound(options_.first_round + done)) return false;
    const bool check = (done + 1) % kBatch == 0 || done + 1 == options_.rounds;
    if (check && !CheckBatch()) return false;
  }
  return CheckExit();
}

bool ListenerFuzzRun::Start() {
  fleet_ = std::make_unique<Fleet>(Fleet::Options{.programs = options_.programs,
                                                  .hosts = 1,
                                                  .domains = 1,
                                                  .seeds = 1,
                                                  .ready_timeout = kMaxWait});
  if (!fleet_->StartPlatform() || !fleet_->StartHosts())
    return Fail(fleet_->last_reason());
  for (const char* target : kTargets) {
    if (!fleet_->StartTarget({.host = kHost, .id = target}))
      return Fail(fleet_->last_reason());
  }
  if (!fleet_->Apply(kHost, MakeFuzzTables(20)))
    return Fail(fleet_->last_reason());
  for (const char* target : kTargets) {
    if (!fleet_->AwaitTarget(target, true, kMaxWait))
      return Fail(fleet_->last_reason());
  }
  if (!IsOrdinaryRequestAnswered())
    return Fail("an ordinary request is not answered before the first round");
  before_ = ProcessUsage::Read(fleet_->process(kHost)->pid());
  return before_.has_value() || Fail("the host's usage cannot be read");
}

bool ListenerFuzzRun::PlayRound(std::uint64_t round) {
  const FuzzCase played = MakeFuzzCase(options_.seed, round, "fuzz");
  const FuzzObservation observed =
      PlayFuzzCase(played, fleet_->caller(kHost), options_.steps);
  responses_ += observed.responses;
  answered_ += observed.answered;
  refused_.insert(observed.refused.begin(), observed.refused.end());
  for (const FuzzedConnection& connection : played.connections) {
    for (std::size_t index = 0; index < connection.well_formed; ++index) {
      const std::string& id = connection.requests[index].smuggled_id;
      if (!id.empty()) smuggled_.insert(id);
    }
  }
  if (!fleet_->process(kHost)->running())
    return Fail("the host exited:\n" + fleet_->process(kHost)->log().Tail(60),
                round);
  if (observed.violations.empty()) return true;
  return Fail(observed.violations.front(), round);
}

bool ListenerFuzzRun::CheckBatch() {
  for (const char* target : kTargets) {
    if (!fleet_->process(target)->running())
      return Fail(std::string("the stand-in exited: ") + target + "\n" +
                  fleet_->process(target)->log().Tail(60));
  }
  if (!IsOrdinaryRequestAnswered())
    return Fail("an ordinary request is not answered");
  std::size_t descriptors = 0;
  const bool bounded = WaitUntil(kMaxWait, [&] {
    const auto usage = ProcessUsage::Read(fleet_->process(kHost)->pid());
    descriptors = usage ? usage->descriptors : 0;
    return usage && descriptors <= before_->descriptors + kMaxMoreDescriptors;
  });
  if (!bounded) {
    return Fail(fmt::format("{} descriptors are open, {} before", descriptors,
                            before_->descriptors));
  }
  return CheckRuns();
}

bool ListenerFuzzRun::CheckRuns() {
  std::map<std::string, std::int64_t> runs_by_key;
  for (const char* target : kTargets) {
    HttpConnection connection(fleet_->target_endpoint(target));
    const auto answer = connection.Call(
        {.method = "GET", .target = "/control/runs", .fields = {{"host", "t"}}},
        kMaxWait);
    if (!answer)
      return Fail("the runs cannot be read: " + connection.last_reason());
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::json::error_code error;
    const boost::json::value document =
        boost::json::parse(answer->body, error, {}, options);
    if (error) return Fail("the runs cannot be parsed: " + error.message());
    for (const boost::json::value& run : document.at("runs").as_array()) {
      const std::string id = TextField(run, "request");
      if (refused_.contains(id)) return Fail(id + " was refused, but ran");
      if (smuggled_.contains(id))
        return Fail(id + " is part of a body, but ran");
      const std::string key = TextField(run, "key");
      // The keys of well-formed requests are unique.
      if (key != "key-" + id) continue;
      runs_by_key[key] += run.at("count").as_int64();
      if (runs_by_key[key] > 1) return Fail(key + " ran more than once");
    }
  }
  return true;
}

bool ListenerFuzzRun::CheckExit() {
  if (answered_ == 0 && options_.rounds >= kBatch)
    return Fail("no well-formed request was answered");
  Process& host = *fleet_->process(kHost);
  host.Terminate();
  const std::optional<int> status = host.AwaitExit(kExitTime);
  if (!status) return Fail("the host does not exit:\n" + host.log().Tail(20));
  for (const char* report : kReports) {
    if (!host.log().Matching(report).empty())
      return Fail("the host's log has a report:\n" + host.log().Tail(60));
  }
  if (*status == 0) return true;
  return Fail(fmt::format("exit status {}:\n{}", *status, host.log().Tail(60)));
}

bool ListenerFuzzRun::IsOrdinaryRequestAnswered() {
  return WaitUntil(kMaxWait, [this] {
    const auto response =
        HttpConnection(fleet_->caller(kHost))
            .Call({.method = "POST",
                   .target = std::string(kFuzzServedPath) + "/ordinary",
                   .fields = {{"host", "h"}, {"x-request-id", "ordinary"}},
                   .body = "ordinary"});
    return response.has_value() && response->status == 200;
  });
}

bool ListenerFuzzRun::Fail(std::string reason,
                           std::optional<std::uint64_t> round) {
  last_reason_ = std::move(reason);
  failed_round_ = round;
  return false;
}

}  // namespace camphor
