#include "harness/fleet.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <thread>
#include <utility>

#include "harness/socket_owner.h"

namespace camphor {
namespace {

constexpr std::uint16_t kCallerPort = 18080;
constexpr std::uint16_t kForwardPort = 18081;
constexpr std::uint16_t kMeshPort = 18082;
constexpr std::uint16_t kAdminPort = 18083;
constexpr std::uint16_t kPlatformPort = 18090;
// With links, relays listen on the ports above and processes on these ports
// plus this offset.
constexpr std::uint16_t kBehindLinkOffset = 100;
constexpr unsigned kPlatformNumber = AddressBlock::kSize;
constexpr Milliseconds kPoll{10};
constexpr int kApplyAttempts = 10;

// The number in a host name, for example 3 in "h3"; 0 if there is none.
unsigned HostNumber(const std::string& host) {
  unsigned number = 0;
  if (host.starts_with('h'))
    std::from_chars(host.data() + 1, host.data() + host.size(), number);
  return number;
}

Endpoint BehindLink(const Endpoint& endpoint) {
  return {
      .address = endpoint.address,
      .port = static_cast<std::uint16_t>(endpoint.port + kBehindLinkOffset)};
}

// True if the node lists the target, the target is not leaving and its host is
// neither dead nor leaving. Returns nullopt while a routing update is pending.
std::optional<bool> IsAvailable(const std::string& targets,
                                const std::string& id) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(targets, error);
  if (error) return std::nullopt;
  // Requests use the published routing, which is updated after the list of
  // targets.
  if (document.at("routing_pending").as_bool()) return std::nullopt;
  for (const boost::json::value& row : document.at("targets").as_array()) {
    if (row.at("id").as_string() != id) continue;
    const auto& host_status = row.at("host_status").as_string();
    return row.at("status").as_string() != "leaving" && host_status != "dead" &&
           host_status != "leaving";
  }
  return false;
}

std::string ProgramFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

}  // namespace

bool WaitUntil(Milliseconds timeout, const std::function<bool()>& holds) {
  const MonoTime deadline = std::chrono::steady_clock::now() + timeout;
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

Fleet::Fleet(Options options)
    : options_(std::move(options)), addresses_(AddressBlock::Reserve()) {
  if (options_.programs.empty()) options_.programs = ProgramFolder();
  if (options_.keep_logs) folder_.Keep();
}

Fleet::~Fleet() = default;

bool Fleet::StartPlatform(const std::vector<std::string>& more_arguments) {
  if (!addresses_) return Fail("no block of loopback addresses is free");
  Endpoint listen = platform_endpoint();
  if (options_.links) {
    listen = BehindLink(listen);
    if (!StartLink("platform", platform_endpoint(), listen)) return false;
  }
  std::vector<std::string> arguments{"--listen", listen.ToString()};
  for (const std::string& argument : options_.platform_arguments)
    arguments.push_back(argument);
  arguments.insert(arguments.end(), more_arguments.begin(),
                   more_arguments.end());
  if (!Launch({.name = "platform",
               .program = options_.programs + "/platform_stand_in",
               .arguments = std::move(arguments)})) {
    return false;
  }
  if (process("platform")->log().Await("listening", options_.ready_timeout))
    return true;
  return Fail("the platform did not start to listen:\n" + LogTails(5));
}

bool Fleet::StartHosts(unsigned count) {
  if (count == 0) count = options_.hosts;
  for (unsigned number = 1; number <= count; ++number) {
    if (!StartHost("h" + std::to_string(number))) return false;
  }
  for (unsigned number = 1; number <= count; ++number) {
    if (!AwaitReady("h" + std::to_string(number))) return false;
  }
  return true;
}

bool Fleet::StartHost(const std::string& host) {
  if (!addresses_) return Fail("no block of loopback addresses is free");
  if (HostNumber(host) == 0) return Fail("a host name must be h and a number");
  RemoveProcess(host);
  if (options_.links && !links_.contains(host + " mesh")) {
    if (!StartLink(host + " mesh", mesh(host), BehindLink(mesh(host))) ||
        !StartLink(host + " forward", forward(host),
                   BehindLink(forward(host)))) {
      return false;
    }
  }
  const std::string file = folder_.Write(host + ".json", MakeSettings(host));
  if (!Launch({.name = host,
               .program = options_.programs + "/camphord",
               .arguments = {"--settings", file}})) {
    return false;
  }
  const std::lock_guard lock(pids_mutex_);
  host_pids_[host] = process(host)->pid();
  return true;
}

bool Fleet::AwaitReady(const std::string& host) {
  Process* node = process(host);
  if (node == nullptr) return Fail(host + " was not started");
  if (node->log().Await("node: ready", options_.ready_timeout)) return true;
  return Fail(host + " did not become ready:\n" + node->log().Tail(10));
}

bool Fleet::StartTarget(const TargetOptions& target) {
  RemoveProcess(target.id);
  std::vector<std::string> arguments{
      "--listen",  HostEndpoint(target.host, 0).ToString(),
      "--node",    admin(target.host).ToString(),
      "--id",      target.id,
      "--pool",    target.pool,
      "--version", target.version,
      "--slots",   std::to_string(target.slots)};
  if (options_.history) arguments.insert(arguments.end(), {"--history", "1"});
  for (const std::string& argument : target.arguments)
    arguments.push_back(argument);
  if (!Launch({.name = target.id,
               .program = options_.programs + "/target_stand_in",
               .arguments = std::move(arguments)})) {
    return false;
  }
  const auto line =
      process(target.id)->log().Await("listening", options_.ready_timeout);
  if (!line)
    return Fail(target.id + " did not start to listen:\n" + LogTails(5));
  targets_[target.id] =
      Endpoint::Parse(FindLogField(*line, "address")).value_or(Endpoint{});
  return true;
}

std::optional<std::uint64_t> Fleet::Apply(const std::string& host,
                                          const std::string& tables) {
  AdminClient operator_client = Admin(host);
  // After a conflict the edit is retried on the newer version.
  for (int attempt = 0; attempt < kApplyAttempts; ++attempt) {
    const auto base = operator_client.Version();
    if (!base) break;
    const AdminClient::EditResult result =
        operator_client.PutConfig(tables, *base);
    if (result.status == 200) return result.version;
    last_reason_ = fmt::format("the tables were not accepted: {} {}",
                               result.status, result.body);
    if (result.status != 409) return std::nullopt;
  }
  if (last_reason_.empty()) last_reason_ = operator_client.last_reason();
  return std::nullopt;
}

bool Fleet::AwaitVersion(std::uint64_t version, Milliseconds timeout) {
  const MonoTime deadline = std::chrono::steady_clock::now() + timeout;
  for (const std::string& host : running_hosts()) {
    AdminClient client = Admin(host);
    const auto remaining = std::chrono::duration_cast<Milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (WaitUntil(remaining, [&] { return client.Version() >= version; }))
      continue;
    return Fail(
        fmt::format("timed out: {} does not serve version {}", host, version));
  }
  return true;
}

bool Fleet::AwaitTarget(const std::string& target, bool available,
                        Milliseconds timeout) {
  const MonoTime deadline = std::chrono::steady_clock::now() + timeout;
  for (const std::string& host : running_hosts()) {
    AdminClient client = Admin(host);
    const auto remaining = std::chrono::duration_cast<Milliseconds>(
        deadline - std::chrono::steady_clock::now());
    const bool reached = WaitUntil(remaining, [&] {
      const auto body = client.Get("/v1/targets");
      return body && IsAvailable(*body, target) == available;
    });
    if (!reached) {
      return Fail(fmt::format("timed out: {} {} the target {} as available",
                              host, available ? "does not list" : "still lists",
                              target));
    }
  }
  return true;
}

bool Fleet::CutHost(const std::string& host) {
  if (!links_.contains(host + " mesh")) return Fail(host + " has no links");
  links_[host + " mesh"]->Cut();
  links_[host + " forward"]->Cut();
  for (const auto& [name, link] : links_) link->CutFrom(host);
  return true;
}

bool Fleet::HealHost(const std::string& host) {
  if (!links_.contains(host + " mesh")) return Fail(host + " has no links");
  links_[host + " mesh"]->Heal();
  links_[host + " forward"]->Heal();
  for (const auto& [name, link] : links_) link->HealFrom(host);
  return true;
}

bool Fleet::ControlPlatform(const std::string& body) {
  HttpConnection connection(platform_endpoint());
  const auto answer =
      connection.Call({.method = "POST", .target = "/control", .body = body});
  if (answer && answer->status == 200) return true;
  return Fail("control request to the platform failed: " + body + ": " +
              (answer ? answer->body : connection.last_reason()));
}

bool Fleet::ControlTarget(const std::string& target, const std::string& body) {
  HttpConnection connection(target_endpoint(target));
  const auto answer =
      connection.Call({.method = "POST", .target = "/control", .body = body});
  if (answer && answer->status == 200) return true;
  return Fail(target + ": control request failed: " + body + ": " +
              (answer ? answer->body : connection.last_reason()));
}

void Fleet::RemoveProcess(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) return;
  found->second->Kill();
  ended_.push_back(std::move(found->second));
  processes_.erase(found);
}

Process* Fleet::process(const std::string& name) {
  const auto found = processes_.find(name);
  return found == processes_.end() ? nullptr : found->second.get();
}

std::vector<std::string> Fleet::running_hosts() {
  std::vector<std::string> hosts;
  for (const auto& [name, started] : processes_) {
    if (HostNumber(name) > 0 && started->running()) hosts.push_back(name);
  }
  return hosts;
}

Endpoint Fleet::admin(const std::string& host) const {
  return HostEndpoint(host, kAdminPort);
}

Endpoint Fleet::caller(const std::string& host) const {
  return HostEndpoint(host, kCallerPort);
}

Endpoint Fleet::forward(const std::string& host) const {
  return HostEndpoint(host, kForwardPort);
}

Endpoint Fleet::mesh(const std::string& host) const {
  return HostEndpoint(host, kMeshPort);
}

Endpoint Fleet::platform_endpoint() const {
  return {.address = addresses_->Address(kPlatformNumber),
          .port = kPlatformPort};
}

Endpoint Fleet::target_endpoint(const std::string& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? Endpoint{} : found->second;
}

Endpoint Fleet::RelayedTargetEndpoint(const std::string& host) {
  return HostEndpoint(host, next_relayed_port_++);
}

AdminClient Fleet::Admin(const std::string& host) const {
  return {admin(host), operator_token_};
}

std::vector<std::string> Fleet::History() const {
  std::vector<std::string> history;
  const auto add = [&](const Process& process) {
    for (std::string& line : process.log().Matching(" history: "))
      history.push_back(process.name() + " " + std::move(line));
  };
  for (const auto& process : ended_) add(*process);
  for (const auto& [name, process] : processes_) add(*process);
  return history;
}

std::string Fleet::LogTails(std::size_t lines) const {
  std::string tails;
  for (const auto& [name, process] : processes_)
    tails += "--- " + name + "\n" + process->log().Tail(lines);
  return tails;
}

void Fleet::WriteDumps() {
  for (const std::string& host : running_hosts()) {
    AdminClient client = Admin(host);
    folder_.Write(host + ".dump.json",
                  client.Get("/v1/dump").value_or(client.last_reason()));
    folder_.Write(host + ".hosts.json",
                  client.Get("/v1/hosts").value_or(client.last_reason()));
  }
}

bool Fleet::Fail(std::string reason) {
  last_reason_ = std::move(reason);
  return false;
}

bool Fleet::Launch(Process::Options options) {
  const std::string name = options.name;
  options.log_file = (folder_.path() / (name + ".log")).string();
  std::string reason;
  auto started = Process::Start(std::move(options), reason);
  if (started == nullptr) return Fail(std::move(reason));
  processes_[name] = std::move(started);
  return true;
}

bool Fleet::StartLink(const std::string& name, const Endpoint& listen,
                      const Endpoint& to) {
  auto link = std::make_unique<Relay>(Relay::Options{
      .listen = listen, .to = to, .connector = [this](std::uint16_t port) {
        return FindConnector(port);
      }});
  if (!link->Start()) return Fail(link->last_reason());
  links_[name] = std::move(link);
  return true;
}

// Returns the host whose process owns the local port; empty if it is not a
// host.
std::string Fleet::FindConnector(std::uint16_t port) {
  std::map<pid_t, std::string> hosts;
  std::vector<pid_t> processes;
  {
    const std::lock_guard lock(pids_mutex_);
    for (const auto& [host, pid] : host_pids_) {
      hosts[pid] = host;
      processes.push_back(pid);
    }
  }
  const pid_t owner = FindSocketOwner(processes, port);
  return owner == 0 ? "" : hosts[owner];
}

std::string Fleet::MakeSettings(const std::string& host) const {
  const unsigned number = HostNumber(host);
  boost::json::array seeds;
  for (unsigned seed = 1; seed <= options_.seeds; ++seed)
    seeds.push_back(
        boost::json::string(mesh("h" + std::to_string(seed)).ToString()));
  boost::json::object settings{
      {"host", host},
      {"failure_domain",
       fmt::format("d{}", 1 + (number - 1) % options_.domains)},
      {"caller_listen", caller(host).ToString()},
      {"forward_listen", forward(host).ToString()},
      {"mesh_listen", mesh(host).ToString()},
      {"admin_listen", admin(host).ToString()},
      {"mesh_key", "harness-mesh-key"},
      {"mesh_seeds", std::move(seeds)},
      {"platform", platform_endpoint().ToString()},
      {"operator_token", operator_token_},
      {"log", {{"level", options_.log_level}, {"history", options_.history}}}};
  if (options_.links) {
    settings["mesh_listen"] = BehindLink(mesh(host)).ToString();
    settings["forward_listen"] = BehindLink(forward(host)).ToString();
    settings["mesh_advertise"] = mesh(host).ToString();
    settings["forward_advertise"] = forward(host).ToString();
  }
  std::string text = boost::json::serialize(settings);
  if (!options_.extra_settings.empty()) {
    text.pop_back();
    text += "," + options_.extra_settings + "}";
  }
  return text;
}

Endpoint Fleet::HostEndpoint(const std::string& host,
                             std::uint16_t port) const {
  return {.address = addresses_->Address(HostNumber(host)), .port = port};
}

}  // namespace camphor
