#include "harness/soak/soak_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include "harness/caller_crowd.h"
#include "harness/fuzz/case_player.h"
#include "harness/fuzz/listener_fuzz_run.h"
#include "harness/history/history_checker.h"
#include "harness/history/history_reader.h"
#include "stand_ins/http/http_connection.h"

namespace camphor {
namespace {

constexpr std::uint64_t kMebibyte = 1024 * 1024;
constexpr unsigned kHosts = 3;
constexpr std::size_t kTargets = 4;

// Limits of the hosts, and the bounds that follow from them, as in
// scenario_tests/untrusted_callers.
constexpr std::uint64_t kBufferBytes = 4 * kMebibyte;
constexpr std::uint64_t kMaxGrowth = 2 * kBufferBytes + 8 * kMebibyte;
/// Connections of callers and of the admin listener that the limits allow, and
/// 64 each for targets and the platform and for each other host.
constexpr std::size_t kMaxMoreDescriptors = 256 + 64 + 64 + 64 * (kHosts - 1);
constexpr char kSettings[] =
    R"("proxy": {"buffer_bytes": 4194304, "caller_connections": 256},
       "admin": {"connections": 64, "body_bytes": 1048576})";

/// Only ends runs that hang.
constexpr Milliseconds kMaxWait{60'000};
constexpr std::size_t kMaxReported = 5;
constexpr std::size_t kMaxCrowd = 200;
constexpr std::size_t kCrowdBytes = 60'000;
constexpr const char* kKeyedLoad = "keyed";

/// Returns what each connection of a crowd sends.
std::string CrowdBytes(RandomChoice& choice, const std::string& path) {
  const std::string post = "POST " + path + " HTTP/1.1\r\nHost: h\r\n";
  const std::string get = "GET " + path + " HTTP/1.1\r\nHost: h\r\n";
  std::string text;
  switch (choice.Index(6)) {
    case 0:  // a body that stops short of its end
      return post + fmt::format("Content-Length: {}\r\n\r\n", kCrowdBytes) +
             std::string(kCrowdBytes - 1, 'x');
    case 1:  // the same in chunks
      text = post + "Transfer-Encoding: chunked\r\n\r\n";
      while (text.size() < kCrowdBytes)
        text += "64\r\n" + std::string(100, 'x') + "\r\n";
      return text;
    case 2:  // a header of short fields that does not end
      text = get;
      while (text.size() < 8000) text += "a:\r\n";
      return text;
    case 3:  // pipelined requests
      while (text.size() < kCrowdBytes) text += get + "\r\n";
      return text;
    case 4:  // large responses
      for (unsigned count = 0; count < 8; ++count)
        text += get + "X-Answer-Bytes: 300000\r\n\r\n";
      return text;
    default:  // silence
      return "";
  }
}

}  // namespace

/// The threads of the callers that do not behave.
struct SoakRun::Crowds {
  Crowds(std::vector<Endpoint> callers_in, std::vector<Endpoint> admins_in,
         std::uint64_t seed)
      : callers(std::move(callers_in)), admins(std::move(admins_in)) {
    threads.emplace_back([this, seed] { PlayCases(seed); });
    threads.emplace_back([this, seed] { PlayCrowds(seed); });
  }
  ~Crowds() { Stop(); }

  void Stop() {
    stopping = true;
    for (std::thread& thread : threads) thread.join();
    threads.clear();
  }

  void PlayCases(std::uint64_t seed) {
    for (; !stopping; ++cases) {
      const FuzzObservation observed = PlayFuzzCase(
          MakeFuzzCase(seed, cases, "soak"), callers[cases % callers.size()]);
      // Responses may break off, since targets are killed.
      refused.insert(refused.end(), observed.refused.begin(),
                     observed.refused.end());
    }
  }

  void PlayCrowds(std::uint64_t seed) {
    constexpr std::uint64_t kStream = 1ULL << 62U;  // no number of a case
    RandomChoice choice(seed, kStream);
    for (; !stopping; ++crowds) {
      const bool admin = choice.Chance(30);
      const std::string path = admin               ? "/readyz"
                               : choice.Chance(70) ? kFuzzServedPath
                                                   : "/nowhere";
      CallerCrowd crowd(
          {.to = choice.OneOf(admin ? admins : callers),
           .connections = static_cast<unsigned>(choice.Between(1, kMaxCrowd)),
           .bytes = CrowdBytes(choice, path),
           .piece_bytes = choice.Chance(50) ? 512U : 0U});
      crowd.Play();
      std::this_thread::sleep_for(Milliseconds(choice.Index(1500)));
    }
  }

  std::vector<Endpoint> callers;
  std::vector<Endpoint> admins;
  std::atomic<bool> stopping{false};
  std::uint64_t cases = 0;           // of the first thread; read after Stop()
  std::uint64_t crowds = 0;          // of the second thread; read after Stop()
  std::vector<std::string> refused;  // of the first thread
  std::vector<std::thread> threads;
};

SoakRun::SoakRun(Options options)
    : options_(options),
      fleet_(std::make_unique<Fleet>(
          Fleet::Options{.hosts = kHosts,
                         .history = true,
                         .extra_settings = kSettings,
                         .ready_timeout = kMaxWait,
                         .keep_logs = options.keep_logs})) {}

SoakRun::~SoakRun() { loads_.clear(); }

bool SoakRun::Run() {
  if (!Start()) return false;
  std::map<std::string, Endpoint> hosts;
  std::vector<Endpoint> callers;
  std::vector<Endpoint> admins;
  for (const auto& [host, usage] : before_) {
    hosts[host] = fleet_->caller(host);
    callers.push_back(fleet_->caller(host));
    admins.push_back(fleet_->admin(host));
  }
  for (const char* name : {"plain", kKeyedLoad}) {
    const bool keyed = std::string(name) == kKeyedLoad;
    loads_.push_back(std::make_unique<RequestLoad>(
        RequestLoad::Options{.name = name,
                             .hosts = hosts,
                             .path = keyed ? kFuzzOncePath : kFuzzServedPath,
                             .callers = 3,
                             .pause = Milliseconds(10),
                             .work = Milliseconds(2),
                             .keyed = keyed}));
    loads_.back()->Start();
  }
  Crowds crowds(std::move(callers), std::move(admins), options_.seed);
  constexpr std::uint64_t kStream = 1ULL << 63U;  // no number of a case
  RandomChoice choice(options_.seed, kStream);
  const MonoTime end = std::chrono::steady_clock::now() + options_.time;
  while (std::chrono::steady_clock::now() < end) {
    if (!DisturbOnce(choice)) return false;
    SampleDescriptors();
    std::this_thread::sleep_for(Milliseconds(choice.Between(200, 1000)));
    SampleDescriptors();
  }
  crowds.Stop();
  for (const auto& load : loads_) load->Stop();
  summary_ = fmt::format(
      "{} cases, {} crowds, {} target restarts, {} edits, {} edits refused",
      crowds.cases, crowds.crowds, restarts_, edits_, refused_edits_);
  for (const auto& load : loads_) {
    summary_ += fmt::format(", {} of {} requests answered",
                            load->Count(CallOutcome::kAnswered), load->total());
  }
  return CheckProcesses() && CheckHistory(crowds);
}

bool SoakRun::Start() {
  if (!fleet_->StartPlatform() || !fleet_->StartHosts())
    return Fail(fleet_->last_reason());
  targets_.resize(kTargets);
  for (std::size_t place = 0; place < kTargets; ++place) {
    targets_[place] = fmt::format("t{}", place + 1);
    if (!StartTarget(place)) return false;
  }
  const auto version = fleet_->Apply("h1", MakeFuzzTables(20));
  if (!version || !fleet_->AwaitVersion(*version, kMaxWait))
    return Fail(fleet_->last_reason());
  for (const std::string& target : targets_) {
    if (!fleet_->AwaitTarget(target, true, kMaxWait))
      return Fail(fleet_->last_reason());
  }
  for (const std::string& host : fleet_->running_hosts()) {
    if (!IsOrdinaryRequestAnswered(host))
      return Fail(host + " answers no ordinary request before the load");
    const auto usage = ProcessUsage::Read(fleet_->process(host)->pid());
    if (!usage) return Fail("the usage of " + host + " cannot be read");
    before_[host] = *usage;
  }
  return true;
}

bool SoakRun::StartTarget(std::size_t place) {
  return fleet_->StartTarget({.host = fmt::format("h{}", 1 + place % kHosts),
                              .id = targets_[place]}) ||
         Fail(fleet_->last_reason());
}

// Restarts a target or changes the tables.
bool SoakRun::DisturbOnce(RandomChoice& choice) {
  if (choice.Chance(40)) {
    const std::string host = fmt::format("h{}", choice.Between(1, kHosts));
    const auto queue = static_cast<unsigned>(choice.Between(5, 50));
    // An edit may be refused while a crowd holds the admin listener.
    ++(fleet_->Apply(host, MakeFuzzTables(queue)) ? edits_ : refused_edits_);
    return true;
  }
  const std::size_t place = choice.Index(kTargets);
  const std::string id = targets_[place];
  if (choice.Chance(50)) {
    fleet_->process(id)->Terminate();
    if (!fleet_->process(id)->AwaitExit(kMaxWait))
      return Fail(id + " does not exit");
    targets_[place] = fmt::format("t{}", kTargets + ++restarts_);
  } else {
    ++restarts_;
  }
  fleet_->RemoveProcess(id);
  return StartTarget(place);
}

void SoakRun::SampleDescriptors() {
  for (const auto& [host, usage] : before_) {
    const auto now = ProcessUsage::Read(fleet_->process(host)->pid());
    if (now) most_open_[host] = std::max(most_open_[host], now->descriptors);
  }
}

bool SoakRun::CheckProcesses() {
  std::vector<std::string> names = targets_;
  names.emplace_back("platform");
  for (const auto& [host, usage] : before_) names.push_back(host);
  for (const std::string& name : names) {
    if (!fleet_->process(name)->running())
      return Fail(name + " exited:\n" + fleet_->process(name)->log().Tail(40));
  }
  std::string over;
  for (const auto& [host, usage] : before_) {
    if (!IsOrdinaryRequestAnswered(host))
      return Fail(host + " answers no ordinary request");
    const auto after = ProcessUsage::Read(fleet_->process(host)->pid());
    if (!after) return Fail("the usage of " + host + " cannot be read");
    const std::uint64_t growth = after->peak_bytes - usage.peak_bytes;
    summary_ += fmt::format(
        "\n{}: peak memory {} KiB, grown by {} KiB; descriptors {}, {} before, "
        "at most {}",
        host, after->peak_bytes / 1024, growth / 1024, after->descriptors,
        usage.descriptors, most_open_[host]);
    if (growth > kMaxGrowth)
      over += fmt::format("{}: the memory grew by {} bytes, allowed are {}\n",
                          host, growth, kMaxGrowth);
    if (most_open_[host] > usage.descriptors + kMaxMoreDescriptors)
      over += fmt::format("{}: {} descriptors were open, {} before\n", host,
                          most_open_[host], usage.descriptors);
  }
  return over.empty() || Fail(over);
}

bool SoakRun::CheckHistory(const Crowds& crowds) {
  History history{
      .run_id = "soak",
      .pool_by_prefix = {{kFuzzServedPath, "p1"}, {kFuzzOncePath, "p1"}}};
  ReadHistoryLines(fleet_->History(), history);
  for (RunEvent& run : history.runs) {
    history.targets[run.target] = {.pool = "p1", .version = "v1"};
    // Mutated requests may repeat a key on a route that allows it.
    if (!run.key.starts_with(std::string("key-") + kKeyedLoad)) run.key.clear();
  }
  for (const auto& load : loads_) {
    history.calls.insert(history.calls.end(), load->calls().begin(),
                         load->calls().end());
  }
  for (const std::string& id : crowds.refused)
    history.calls.push_back({.request = id, .outcome = CallOutcome::kNotRun});
  const std::vector<Violation> violations = HistoryChecker({}).Check(history);
  if (violations.empty()) return true;
  std::string report = fmt::format("{} violations:", violations.size());
  for (std::size_t index = 0; index < std::min(violations.size(), kMaxReported);
       ++index) {
    report +=
        fmt::format("\n  {}: {}", InvariantName(violations[index].invariant),
                    violations[index].sentence);
  }
  return Fail(report);
}

bool SoakRun::IsOrdinaryRequestAnswered(const std::string& host) {
  return WaitUntil(kMaxWait, [&] {
    const auto response =
        HttpConnection(fleet_->caller(host))
            .Call({.method = "POST",
                   .target = std::string(kFuzzServedPath) + "/ordinary",
                   .fields = {{"host", "h"}, {"x-request-id", "ordinary"}},
                   .body = "ordinary"});
    return response.has_value() && response->status == 200;
  });
}

bool SoakRun::Fail(std::string reason) {
  last_reason_ = std::move(reason);
  return false;
}

}  // namespace camphor
