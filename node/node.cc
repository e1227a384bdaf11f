#include "node/node.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <ctime>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "core/quota/quota_limiter.h"
#include "mesh/mesh_transport.h"
#include "node/admin/admin_api.h"
#include "node/admin/admin_server.h"
#include "node/decisions/decision_thread.h"
#include "node/decisions/host_controller.h"
#include "node/decisions/published.h"
#include "node/log/limit_log.h"
#include "node/log/load_log.h"
#include "node/log/request_log.h"
#include "node/node_report.h"
#include "node/platform_sync/platform_sync.h"
#include "platform/http_platform_client.h"
#include "platform/operator_tables.h"
#include "platform/platform_headers.h"
#include "platform/rollout_report.h"
#include "proxy/load/cpu_time.h"
#include "proxy/proxy_server.h"
#include "store/claim_store.h"

namespace camphor {
namespace {

using Source = DecisionThread::Source;

/// The process is reported as not alive if the decisions thread has not ticked
/// for this long.
constexpr Seconds kMaxTickGap{5};
constexpr double kBitsPerMegabit = 1e6;
constexpr Milliseconds kDrainPollInterval{10};

/// Callers on the platform run for only a few hundred milliseconds and retry
/// within that time.
constexpr Milliseconds kPlatformRetryAfter{50};

MonoTime Now() { return std::chrono::steady_clock::now(); }

/// Returns monotonic time that also counts the time in which this host was
/// suspended.
MonoTime BootNow() {
  timespec now{};
  if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) return Now();
  return MonoTime(Seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

WallTime WallNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
}

/// Returns an incarnation that increases with each process start.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Returns the limit on connections, lowered to a share of the descriptors that
/// this process may open, so that a crowd on one listener leaves descriptors
/// for the other listeners, the targets and the mesh.
std::uint32_t LimitToDescriptors(std::uint32_t connections, rlim_t divisor) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return connections;
  return static_cast<std::uint32_t>(
      std::clamp<rlim_t>(limit.rlim_cur / divisor, 1, connections));
}

/// Returns the admin listener's share of the buffers. It is separate, so that
/// callers cannot keep operators and readiness probes from being served.
std::uint64_t AdminBufferBytes(const Settings& settings) {
  return settings.proxy.buffer_bytes / 4;
}

/// Returns the time limit for requests in flight: the grace period minus 1/16
/// that is reserved for the process exit, minus the notice.
Milliseconds DrainLimit(const DrainSettings& drain) {
  if (drain.grace.count() == 0) return drain.limit;
  const Milliseconds remaining = drain.grace * 15 / 16 - drain.notice;
  return std::clamp(remaining, Milliseconds(0), drain.limit);
}

}  // namespace

struct Node::State {
  explicit State(Options opts)
      : options(std::move(opts)),
        settings(options.settings),
        log(*options.log),
        incarnation(NewIncarnation()),
        process_started_ms(WallNow().time_since_epoch().count()),
        started(Now()),
        freshness(settings.teams.revoke_within),
        request_log({.log = &log}),
        limiter({.random_seed = incarnation}),
        load_log({.log = &log}),
        limit_log({.log = &log, .part = "proxy"}),
        admin_limit_log({.log = &log, .part = "admin"}),
        mesh_limit_log({.log = &log, .part = "mesh"}),
        admin(AdminOptions()),
        decisions(DecisionOptions()),
        proxy(ProxyOptions()),
        mesh(MeshOptions()),
        platform({.platform = settings.platform}),
        claims(ClaimOptions()) {}

  Options options;
  const Settings& settings;
  LogSink& log;
  const std::uint64_t incarnation;
  const std::uint64_t process_started_ms;
  const MonoTime started;
  std::string last_reason;
  std::atomic<bool> ready{false};
  std::atomic<bool> draining{false};
  std::atomic<MonoTime::rep> last_tick{0};
  Published<EffectiveRouting> routing;
  FreshnessGate freshness;
  RequestLog request_log;    ///< used on the proxy thread
  std::mutex limiter_mutex;  ///< guards `limiter`
  QuotaLimiter limiter;      ///< admits on the proxy thread; the decisions
                             ///< thread reads its use and stores grants
  Microseconds longest_limiter_wait{0};  ///< used on the proxy thread; see
                                         ///< LoadLog::Decisions
  std::atomic<Microseconds::rep> decisions_cpu{0};  ///< processor time
  LoadLog load_log;          ///< used on the proxy thread
  LimitLog limit_log;        ///< used on the proxy thread
  LimitLog admin_limit_log;  ///< used on the admin thread
  LimitLog mesh_limit_log;   ///< used on the mesh thread
  Published<TargetAddresses> addresses;

  // Members are destroyed in reverse order: callers before the components that
  // they call.
  AdminServer admin;
  DecisionThread decisions;
  ProxyServer proxy;
  MeshTransport mesh;
  HttpPlatformClient platform;
  ClaimStore claims;
  std::unique_ptr<HostController> controller;
  std::unique_ptr<PlatformSync> sync;
  std::unique_ptr<AdminApi> api;

  AdminServer::Options AdminOptions();
  DecisionThread::Options DecisionOptions();
  ProxyServer::Options ProxyOptions();
  MeshTransport::Options MeshOptions();
  ClaimStore::Options ClaimOptions();
  HostController::Options ControllerOptions();
  PlatformSync::Options SyncOptions();
  AdminApi::Options ApiOptions();

  void OnTick();
  void OnIdle();
  void OnLoad(const LoopLoad& load);
  NodeReport Report();
  bool Fail(std::string_view part, const std::string& reason);
};

AdminServer::Options Node::State::AdminOptions() {
  return {.listen = settings.admin_listen,
          .additional_listen = settings.admin_also,
          .connections = settings.admin.connections,
          .body_bytes = settings.admin.body_bytes,
          .buffer_bytes = AdminBufferBytes(settings),
          .timeout = settings.admin.timeout,
          .on_limit =
              [this](ProxyLimit limit) { admin_limit_log.Write(limit, Now()); },
          .handle =
              [this](const AdminRequest& request, const AdminRespond& respond) {
                api->Handle(request, respond);
              }};
}

DecisionThread::Options Node::State::DecisionOptions() {
  return {.on_tick = [this] { OnTick(); },
          .on_sample =
              [this](const RequestSample& sample) {
                controller->OnSample(sample, Now());
              },
          .on_idle = [this] { OnIdle(); }};
}

ProxyServer::Options Node::State::ProxyOptions() {
  ProxyServer::Options proxy_options{
      .caller_listen = settings.caller_listen,
      .forward_listen = settings.forward_listen,
      .host = settings.host,
      .domain = settings.failure_domain,
      .mesh_key = settings.mesh_key,
      .routing = [this] { return routing.Load(); },
      .local_target =
          [this](const TargetId& id) {
            const auto known = addresses.Load();
            if (known == nullptr) return Endpoint{};
            const auto found = known->find(id);
            return found == known->end() ? Endpoint{} : found->second;
          },
      .admit = [this](const TeamSpec& team) -> std::optional<Milliseconds> {
        if (team.requests_per_second <= 0) return std::nullopt;
        const MonoTime asked = Now();
        const std::lock_guard lock(limiter_mutex);
        const MonoTime locked = Now();
        longest_limiter_wait =
            std::max(longest_limiter_wait,
                     std::chrono::duration_cast<Microseconds>(locked - asked));
        return limiter.Admit(team.name, locked);
      },
      .preview_admit =
          [this](const TeamSpec& team) {
            const std::lock_guard lock(limiter_mutex);
            return limiter.PreviewAdmit(team.name, Now());
          },
      .on_sample =
          [this](RequestSample&& sample) { decisions.PostSample(sample); },
      .on_target_death =
          [this](std::uint64_t fingerprint, const TargetId& target) {
            decisions.Post(Source::kProxy, [this, fingerprint, target] {
              controller->OnTargetDeath(fingerprint, target, Now(), WallNow());
            });
          },
      .on_target_limit =
          [this](const TargetId& target, std::optional<double> per_second) {
            log.Log(
                LogLevel::kInfo, "targets", "target's request limit changed",
                {{"target", target.value()},
                 {"per_second", per_second ? fmt::format("{:.3f}", *per_second)
                                           : std::string("none")}});
          },
      .on_target_leaving =
          [this](const TargetId& target) {
            log.Log(LogLevel::kInfo, "targets",
                    "target says in a response that it is leaving",
                    {{"target", target.value()}});
            decisions.Post(Source::kProxy, [this, target] {
              controller->Leave({.id = target}, Now());
            });
          },
      .on_target_restart =
          [this](const TargetId& target) {
            decisions.Post(Source::kProxy, [this, target] {
              controller->OnTargetRestart(target, Now());
            });
          },
      .claim =
          [this](const std::string& key, std::uint64_t fingerprint,
                 const ClaimCallback& done) {
            claims.Claim(key, fingerprint, done);
          },
      .release_claim =
          [this](const std::string& key,
                 const std::function<void(bool)>& done) {
            claims.Release(key, done);
          },
      .on_decision =
          [this](const RequestDecision& decision) {
            request_log.Write(decision, Now());
          },
      .on_load = [this](const LoopLoad& load) { OnLoad(load); },
      .on_limit = [this](ProxyLimit limit) { limit_log.Write(limit, Now()); },
      .caller_pool = settings.caller_pool,
      .debug_headers = settings.proxy.debug_headers,
      .limits = {.caller_connections =
                     LimitToDescriptors(settings.proxy.caller_connections, 2),
                 .forward_connections =
                     LimitToDescriptors(settings.proxy.forward_connections, 4),
                 .pending_handshakes = settings.proxy.pending_handshakes,
                 .handshake_timeout = settings.proxy.handshake_timeout,
                 .retry_ratio = settings.proxy.retry_ratio,
                 .retry_burst = settings.proxy.retry_burst,
                 .hedge_share = settings.proxy.hedge_share,
                 .load_reports = settings.proxy.load_reports,
                 .retry_budget = settings.proxy.retry_budget,
                 .buffer_bytes =
                     settings.proxy.buffer_bytes - AdminBufferBytes(settings),
                 .link_bits_per_second =
                     settings.proxy.link_mbps * kBitsPerMegabit,
                 .header_fields = settings.proxy.header_fields}};
  if (settings.interface == InterfaceKind::kPlatform) {
    proxy_options.vocabulary = PlatformHeaders();
    proxy_options.limits.retry_after = kPlatformRetryAfter;
  }
  if (settings.teams.revoke_within.count() > 0) {
    proxy_options.accepts_keys = [this] {
      return freshness.IsCurrent(BootNow());
    };
  }
  if (settings.log.history) {
    proxy_options.history = [this](const std::string& text) {
      log.History(text);
    };
  }
  return proxy_options;
}

MeshTransport::Options Node::State::MeshOptions() {
  return {.listen = settings.mesh_listen,
          .advertise = settings.mesh_advertise,
          .key = settings.mesh_key,
          .max_pending_handshakes = settings.mesh.pending_handshakes,
          .max_handshake_bytes = settings.mesh.handshake_bytes,
          .on_message =
              [this](const Endpoint& from, MeshMessage message) {
                // Share the message, because tasks are copied into the ring.
                const auto shared =
                    std::make_shared<const MeshMessage>(std::move(message));
                decisions.Post(Source::kMesh, [this, from, shared] {
                  controller->OnMessage(from, *shared, Now(), BootNow());
                });
              },
          .on_peer_state =
              [this](const Endpoint& peer, bool connected) {
                decisions.Post(Source::kMesh, [this, peer, connected] {
                  controller->OnPeerState(peer, connected, Now());
                });
              },
          .on_limit =
              [this](MeshLimit limit) {
                mesh_limit_log.Write(MeshLimitText(limit), Now());
              }};
}

ClaimStore::Options Node::State::ClaimOptions() {
  return {.client = &platform,
          .schedule =
              [this](Milliseconds delay, DecisionThread::Task task) {
                decisions.RunAfter(delay, std::move(task));
              },
          .owner = settings.host.value() + "/" + std::to_string(incarnation)};
}

HostController::Options Node::State::ControllerOptions() {
  return {.settings = settings,
          .incarnation = incarnation,
          .process_started_ms = process_started_ms,
          .forward = settings.forward_advertise.port == 0
                         ? proxy.forward_endpoint()
                         : settings.forward_advertise,
          .log = &log,
          .with_limiter =
              [this](const std::function<void(QuotaLimiter&)>& use) {
                const std::lock_guard lock(limiter_mutex);
                use(limiter);
              },
          .routing = &routing,
          .addresses = &addresses,
          .send =
              [this](const Endpoint& to, const MeshMessage& message) {
                return mesh.Send(to, message);
              },
          .fetch_snapshot =
              [this](const ConfigHead& head) { sync->FetchSnapshot(head); },
          .config_changed =
              [this](const ConfigSnapshot& snapshot) {
                sync->OnConfigChanged(snapshot);
              },
          .departures_changed = [this] { sync->OnDeparturesChanged(); },
          .freshness = &freshness,
          .prove_freshness = [this] { sync->RequestProof(); }};
}

PlatformSync::Options Node::State::SyncOptions() {
  std::optional<OperatorTables> tables;
  if (settings.interface == InterfaceKind::kPlatform) {
    tables = {.table = kOperatorTable,
              .decode = DecodeOperatorTables,
              .report = MakeRolloutReport};
  }
  return {.settings = settings.polling,
          .revoke_within = settings.teams.revoke_within,
          .operator_tables = std::move(tables),
          .host = settings.host,
          .mesh = settings.mesh_advertise,
          .random_seed = incarnation,
          .platform = &platform,
          .log = &log,
          .controller = controller.get(),
          .post =
              [this](DecisionThread::Task task) {
                decisions.Post(Source::kPlatform, std::move(task));
              },
          .schedule =
              [this](Milliseconds delay, DecisionThread::Task task) {
                decisions.RunAfter(delay, std::move(task));
              },
          .boot_now = BootNow};
}

AdminApi::Options Node::State::ApiOptions() {
  return {
      .settings = settings,
      .log = &log,
      .decisions = &decisions,
      .controller = controller.get(),
      .accept =
          [this](const ConfigEdit& edit,
                 std::function<void(const AcceptResult&)> done) {
            sync->Accept(edit, std::move(done));
          },
      .await_departures_stored =
          [this](std::function<void(bool)> done) {
            sync->AwaitDeparturesStored(std::move(done));
          },
      .status = [this] { return Report().Status(); },
      .dump = [this] { return Report().Dump(); },
      .preview =
          [this](PreviewRequest request,
                 std::function<void(const PlacementPreview&)> done) {
            return proxy.Preview(std::move(request), std::move(done));
          },
      .metrics = [this] { return Report().Metrics(); },
      .alive =
          [this] {
            const MonoTime ticked(MonoTime::duration(last_tick.load()));
            return Now() - ticked < kMaxTickGap;
          },
      .ready = [this] { return ready && !draining && proxy.IsResponsive(); },
      .drain = options.drain_requested};
}

void Node::State::OnTick() {
  const MonoTime now = Now();
  last_tick = now.time_since_epoch().count();
  const WallTime wall_now = WallNow();
  controller->Tick(now, BootNow(), wall_now);
  sync->Tick(now, wall_now);
  decisions_cpu = ThreadCpuTime().count();
}

void Node::State::OnIdle() {
  controller->PublishRouting(Now());
  if (ready || !controller->ready()) return;
  ready = true;
  const auto took =
      std::chrono::duration_cast<Milliseconds>(Now() - started).count();
  log.Log(LogLevel::kInfo, "node", "ready",
          {{"caller", proxy.caller_endpoint().ToString()},
           {"forward", proxy.forward_endpoint().ToString()},
           {"mesh", settings.mesh_listen.ToString()},
           {"admin", admin.endpoint().ToString()},
           {"took_ms", static_cast<std::uint64_t>(took)}});
}

void Node::State::OnLoad(const LoopLoad& load) {
  const MonoTime now = Now();
  const MonoTime::rep last = last_tick.load();
  if (last == 0) return;  // the decisions thread has not started
  const MonoTime ticked{MonoTime::duration(last)};
  load_log.Write(
      load,
      {.tick_age = std::chrono::duration_cast<Microseconds>(now - ticked),
       .thread_cpu = Microseconds(decisions_cpu.load()),
       .proxy_tasks = decisions.Queued(Source::kProxy),
       .mesh_tasks = decisions.Queued(Source::kMesh),
       .limiter_wait = std::exchange(longest_limiter_wait, Microseconds(0))},
      now);
}

NodeReport Node::State::Report() {
  return NodeReport(
      {.settings = settings,
       .incarnation = incarnation,
       .uptime = std::chrono::duration_cast<Seconds>(Now() - started),
       .ready = ready,
       .draining = draining,
       .controller = *controller,
       .sync = *sync,
       .proxy = proxy,
       .mesh = mesh,
       .platform = platform,
       .claims = claims,
       .decisions = decisions,
       .admin = admin,
       .log = log});
}

bool Node::State::Fail(std::string_view part, const std::string& reason) {
  last_reason = reason;
  log.Log(LogLevel::kError, part, "start failed", {{"reason", reason}});
  return false;
}

Node::Node(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

Node::~Node() { Stop(); }

bool Node::Start() {
  State& state = *state_;
  state.log.History("started", {{"host", state.settings.host.value()},
                                {"incarnation", state.incarnation}});
  // Start the proxy first, because the host record contains its port. It
  // refuses callers until a routing is published.
  if (!state.proxy.Start()) {
    return state.Fail("proxy", state.proxy.last_reason());
  }
  state.controller =
      std::make_unique<HostController>(state.ControllerOptions());
  state.sync = std::make_unique<PlatformSync>(state.SyncOptions());
  state.api = std::make_unique<AdminApi>(state.ApiOptions());
  if (!state.mesh.Start()) return state.Fail("mesh", state.mesh.last_reason());
  if (!state.admin.Start()) {
    return state.Fail("admin", state.admin.last_reason());
  }
  state.last_tick = Now().time_since_epoch().count();
  state.decisions.Start();
  return true;
}

bool Node::Drain() {
  State& state = *state_;
  state.draining = true;
  state.log.Log(LogLevel::kInfo, "node", "draining",
                {{"in_flight", state.proxy.in_flight()}});
  state.decisions.Post(Source::kMain,
                       [&state] { state.controller->LeaveMesh(Now()); });
  const DrainSettings& drain = state.settings.drain;
  const MonoTime deadline = Now() + drain.notice + DrainLimit(drain);
  state.proxy.SetStopTime(deadline);
  // Keep serving until the other hosts have learned of the shutdown.
  std::this_thread::sleep_for(drain.notice);
  state.proxy.BeginDrain();
  // Check and stop atomically: a request that starts between a check and the
  // stop would be cut off.
  bool idle = state.proxy.StopIfIdle();
  while (!idle && Now() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
    idle = state.proxy.StopIfIdle();
  }
  const std::uint64_t remaining = idle ? 0 : state.proxy.in_flight();
  state.log.Log(remaining == 0 ? LogLevel::kInfo : LogLevel::kWarning, "node",
                "drained", {{"in_flight", remaining}});
  state.log.History("drained", {{"in_flight", remaining}});
  return remaining == 0;
}

void Node::Stop() {
  State& state = *state_;
  state.proxy.Stop();
  state.mesh.Stop();
  state.platform.Stop();
  state.decisions.Stop();
  state.admin.Stop();
}

Endpoint Node::caller_endpoint() const {
  return state_->proxy.caller_endpoint();
}

Endpoint Node::admin_endpoint() const { return state_->admin.endpoint(); }

const std::string& Node::last_reason() const { return state_->last_reason; }

}  // namespace camphor
