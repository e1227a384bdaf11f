#include "node/decisions/host_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <utility>

#include "core/rollout/rollout_view.h"
#include "core/routing/routing_builder.h"
#include "node/json/record_json.h"

namespace camphor {
namespace {

/// Host records change in bursts, so rebuilds of the routing are rate-limited
/// to this interval. Changes of the configuration, of poison requests and of
/// this host's own targets bypass the limit.
constexpr Milliseconds kMinBuildInterval{20};

/// Minimum interval between two log lines that keys are refused from now on.
constexpr Seconds kRefusingLogInterval{10};

}  // namespace

HostController::HostController(Options options)
    : options_(std::move(options)),
      registry_(
          {.lease = options_.settings.targets.lease,
           .warming_limit = options_.settings.targets.warming_limit,
           .await_departures = options_.departures_changed != nullptr,
           .process_started_ms = options_.process_started_ms,
           .has_cold_rate =
               [this](const PoolName& pool) { return HasColdRate(pool); }}),
      availability_({.log = options_.log}) {
  rollouts_ = std::make_unique<RolloutManager>(ManagerOptions());
  quotas_ = std::make_unique<QuotaManager>(QuotaOptions());
  replicator_ = std::make_unique<Replicator>(ReplicatorOptions());
  departure_replicator_ =
      std::make_unique<DepartureReplicator>(DepartureOptions());
  if (options_.settings.teams.revoke_within.count() > 0)
    freshness_.emplace(FreshnessOptions());
}

HostController::~HostController() = default;

Replicator::Options HostController::ReplicatorOptions() {
  const Settings& settings = options_.settings;
  return {.settings = settings.replication,
          .self = {.host = settings.host,
                   .incarnation = options_.incarnation,
                   .domain = settings.failure_domain,
                   .mesh = settings.mesh_advertise,
                   .forward = options_.forward},
          .seeds = settings.mesh_seeds,
          .random_seed = options_.incarnation,
          .send =
              [this](const Endpoint& to, const MeshMessage& message) {
                options_.send(to, message);
              },
          .config_changed =
              [this](const ConfigSnapshotPtr& snapshot) {
                OnConfigChanged(snapshot);
              },
          .hosts_changed =
              [this] {
                hosts_changed_ = true;
                routing_changed_ = true;
              },
          .rollout_changed =
              [this](const RolloutRecord& record) { OnRolloutChanged(record); },
          .poison_changed = [this] { urgent_ = true; },
          .evidence =
              [this](const EvidenceReport& report) {
                rollouts_->OnEvidence(report, now_);
              },
          .fetch_snapshot =
              [this](const ConfigHead& head) { options_.fetch_snapshot(head); },
          .quota_report =
              [this](const Endpoint& from, const QuotaReport& report) {
                quotas_->OnReport(from, report, now_);
              },
          .quota_grants =
              [this](const Endpoint& from, const QuotaGrants& grants) {
                quotas_->OnGrants(from, grants, now_);
              },
          .freshness_query =
              [this](const Endpoint& from, const FreshnessQuery& query) {
                if (freshness_) freshness_->OnQuery(from, query, boot_now_);
              },
          .freshness_reply =
              [this](const Endpoint& from, const FreshnessReply& reply) {
                if (freshness_) freshness_->OnReply(from, reply, boot_now_);
              },
          .departure_notice =
              [this](const Endpoint& from, const DepartureNotice& notice) {
                departure_replicator_->OnNotice(from, notice);
              },
          .departure_receipt =
              [this](const Endpoint& from, const DepartureReceipt& receipt) {
                departure_replicator_->OnReceipt(from, receipt);
              }};
}

DepartureReplicator::Options HostController::DepartureOptions() {
  return {.host = options_.settings.host,
          .incarnation = options_.incarnation,
          .neighbours = [this] { return replicator_->neighbours(); },
          .send_notice =
              [this](const Endpoint& to, const DepartureNotice& notice) {
                options_.send(to, notice);
              },
          .send_receipt =
              [this](const Endpoint& to, const DepartureReceipt& receipt) {
                options_.send(to, receipt);
              },
          .departures = [this]() -> const std::vector<TargetDeparture>& {
            return registry_.departures();
          },
          .on_recovered =
              [this](const std::vector<TargetDeparture>& departures) {
                AddDepartures(departures, "mesh");
              }};
}

QuotaManager::Options HostController::QuotaOptions() {
  return {
      .host = options_.settings.host,
      .mesh = options_.settings.mesh_advertise,
      .incarnation = options_.incarnation,
      .with_limiter = options_.with_limiter,
      .send_report =
          [this](const Endpoint& to, const QuotaReport& report) {
            options_.send(to, report);
          },
      .send_grants =
          [this](const Endpoint& to, const QuotaGrants& grants) {
            options_.send(to, grants);
          },
      .limited_changed =
          [this](const TeamName& team, bool limited, double rate) {
            options_.log->Log(
                LogLevel::kInfo, "quota",
                limited ? "team is near its quota: limited on this host"
                        : "team is no longer limited on this host",
                {{"team", team.value()},
                 {"per_second", fmt::format("{:.3f}", rate)},
                 {"allocator", quotas_->AllocatorOf(HashTeam(team)).value()}});
          }};
}

FreshnessTracker::Options HostController::FreshnessOptions() {
  return {.bound = options_.settings.teams.revoke_within,
          .incarnation = options_.incarnation,
          .sources = [this]() -> FreshnessTracker::Sources {
            return {.own_domain = replicator_->own_pollers(),
                    .other_domains = replicator_->other_pollers()};
          },
          .send =
              [this](const Endpoint& to, const MeshMessage& message) {
                options_.send(to, message);
              },
          .read_store = [this] { options_.prove_freshness(); }};
}

RolloutManager::Options HostController::ManagerOptions() {
  const RolloutSettings& rollout = options_.settings.rollout;
  return {
      .host = options_.settings.host,
      .incarnation = options_.incarnation,
      .publish =
          [this](const RolloutRecord& record) {
            replicator_->Publish(record, now_);
          },
      .send_evidence =
          [this](const HostId& to, const EvidenceReport& report) {
            replicator_->SendEvidence(to, report, now_);
          },
      .evaluated =
          [this](const RolloutEvaluation& evaluation) {
            LogEvaluation(evaluation);
          },
      .routing_changed = [this] { routing_changed_ = true; },
      .rollout = {.ramp = {.min_canary_duration = rollout.min_canary_duration,
                           .min_step_duration = rollout.min_step_duration},
                  .evaluation_interval = rollout.evaluation_interval,
                  .owner_warmup = rollout.owner_warmup}};
}

void HostController::OnMessage(const Endpoint& from, const MeshMessage& message,
                               MonoTime now, MonoTime boot_now) {
  now_ = now;
  boot_now_ = boot_now;
  replicator_->OnMessage(from, message, now);
}

void HostController::OnPlatformProof(const FreshnessTracker::Proof& proof,
                                     MonoTime boot_now) {
  boot_now_ = boot_now;
  if (freshness_) freshness_->OnStoreProof(proof, boot_now);
}

void HostController::OnPeerState(const Endpoint& peer, bool connected,
                                 MonoTime now) {
  now_ = now;
  options_.log->Log(LogLevel::kDebug, "mesh",
                    connected ? "connected to peer" : "connection to peer lost",
                    {{"peer", peer.ToString()}});
  replicator_->OnPeerState(peer, connected, now);
}

void HostController::OnSample(const RequestSample& sample, MonoTime now) {
  now_ = now;
  rollouts_->OnSample(sample, now);
}

void HostController::OnTargetDeath(std::uint64_t fingerprint,
                                   const TargetId& target, MonoTime now,
                                   WallTime wall_now) {
  now_ = now;
  options_.log->Log(LogLevel::kWarning, "targets",
                    "target died while handling a request",
                    {{"target", target.value()}, {"fingerprint", fingerprint}});
  // Connections to a target that died can break later than its death is
  // noticed.
  const WallTime died_at = registry_.RecordDeath(target, wall_now);
  replicator_->Publish(
      PoisonRecord{.fingerprint = fingerprint, .deaths = {{died_at, target}}},
      now);
}

bool HostController::HasColdRate(const PoolName& pool) const {
  const ConfigSnapshotPtr& snapshot = replicator_->snapshot();
  const PoolSpec* spec = snapshot ? snapshot->FindPool(pool) : nullptr;
  return spec != nullptr && spec->cold_requests_per_second > 0;
}

void HostController::OnTargetRestart(const TargetId& target, MonoTime now) {
  now_ = now;
  const bool changed = registry_.AssumeCold(target);
  options_.log->Log(
      LogLevel::kInfo, "targets",
      "target may have restarted; it counts as cold until its next report",
      {{"target", target.value()}, {"changed", changed ? "yes" : "no"}});
  if (changed) OnTargetsChanged(now);
}

bool HostController::Announce(const TargetAnnouncement& announcement,
                              MonoTime now) {
  now_ = now;
  if (!registry_.Announce(announcement, now)) return false;
  options_.log->Log(LogLevel::kInfo, "targets", "target registered",
                    {{"target", announcement.id.value()},
                     {"pool", announcement.pool.value()},
                     {"version", announcement.version.value()},
                     {"address", announcement.address.ToString()}});
  OnTargetsChanged(now);
  return true;
}

bool HostController::Report(const TargetAnnouncement& report, MonoTime now) {
  now_ = now;
  using Result = TargetRegistry::ReportResult;
  const Result result = registry_.Report(report, now);
  ReportDepartures();
  if (result == Result::kRenewed) return true;
  if (result == Result::kChanged) OnTargetsChanged(now);
  options_.log->Log(
      LogLevel::kInfo, "targets",
      result == Result::kChanged ? "target report updated the target's record"
                                 : "target report rejected",
      {{"target", report.id.value()},
       {"pool", report.pool.value()},
       {"version", report.version.value()},
       {"address", report.address.ToString()},
       {"state", report.leaving ? "leaving" : (report.warm ? "ready" : "cold")},
       {"sequence", report.sequence},
       {"started_ms", report.started_ms},
       {"outcome", result == Result::kTooMany       ? "too_many"
                   : result == Result::kStale       ? "stale"
                   : result == Result::kUnconfirmed ? "unconfirmed"
                                                    : "taken"}});
  return result != Result::kTooMany;
}

bool HostController::Renew(const TargetId& id, MonoTime now) {
  return registry_.Renew(id, now);
}

bool HostController::Leave(const TargetDeparture& departure, MonoTime now) {
  now_ = now;
  const bool listed = registry_.Leave(departure, now);
  if (!listed && departure.started_ms == 0) {
    // The run that leaves started before now, and any later one starts after.
    const auto wall_ms = wall_now_.time_since_epoch().count();
    registry_.Leave(
        {.id = departure.id, .started_ms = static_cast<std::uint64_t>(wall_ms)},
        now);
  }
  ReportDepartures();
  options_.log->Log(
      LogLevel::kInfo, "targets",
      listed ? "target is leaving" : "target that is not listed is leaving",
      {{"target", departure.id.value()}, {"started_ms", departure.started_ms}});
  if (!listed) return false;
  options_.log->History("target_left", {{"id", departure.id.value()}});
  OnTargetsChanged(now);
  return true;
}

void HostController::LoadDepartures(
    const std::vector<TargetDeparture>& departures, MonoTime now) {
  now_ = now;
  AddDepartures(departures, "platform");
  // What only the neighbours hold takes a target out once they have replied.
  if (registry_.CompleteDepartures(now)) OnTargetsChanged(now);
}

void HostController::AddDepartures(
    const std::vector<TargetDeparture>& departures, std::string_view source) {
  const bool changed = registry_.LoadDepartures(departures, now_);
  options_.log->Log(LogLevel::kInfo, "targets",
                    "departures of an earlier process loaded",
                    {{"source", std::string(source)},
                     {"departures", departures.size()},
                     {"targets_changed", changed ? "yes" : "no"}});
  ReportDepartures();
  if (changed) OnTargetsChanged(now_);
}

void HostController::ReportDepartures() {
  if (registry_.departures_recorded() == reported_departures_) return;
  reported_departures_ = registry_.departures_recorded();
  departure_replicator_->OnChanged(now_);
  if (options_.departures_changed) options_.departures_changed();
}

void HostController::LeaveMesh(MonoTime now) {
  now_ = now;
  replicator_->Leave(now);
}

void HostController::Tick(MonoTime now, MonoTime boot_now, WallTime wall_now) {
  now_ = now;
  boot_now_ = boot_now;
  wall_now_ = wall_now;
  if (registry_.Expire(now)) OnTargetsChanged(now);
  if (block_ends_ <= wall_now) urgent_ = true;
  replicator_->Tick(now, wall_now);
  departure_replicator_->Tick(now);
  if (freshness_) watcher_ = replicator_->is_platform_poller();
  if (hosts_changed_) {
    hosts_changed_ = false;
    rollouts_->SetHosts(replicator_->hosts());
    quotas_->SetHosts(replicator_->hosts(), now);
  }
  quotas_->Tick(now);
  rollouts_->Tick(boot_now, wall_now);
  availability_.Update(replicator_->snapshot(), replicator_->hosts(), now);
}

void HostController::PublishRouting(MonoTime now) {
  BuildAndStoreRouting(now);
  UpdateFreshness();
}

void HostController::UpdateFreshness() {
  if (!freshness_) return;
  // Also follows a version whose routing was stored by this call: a proof must
  // not reach the proxy before the configuration that it covers.
  freshness_->Tick({.served = published_version_,
                    .has_teams = published_teams_,
                    .watcher = watcher_},
                   boot_now_);
  if (freshness_->proof()) options_.freshness->Publish(freshness_->proof()->at);
  LogFreshness();
}

void HostController::LogFreshness() {
  const bool refusing =
      published_teams_ && !options_.freshness->IsCurrent(boot_now_);
  if (refusing == refusing_logged_) return;
  if (refusing && boot_now_ < next_refusing_log_) return;
  refusing_logged_ = refusing;
  if (refusing) next_refusing_log_ = boot_now_ + kRefusingLogInterval;
  const std::optional<Milliseconds> age = freshness_->Age(boot_now_);
  options_.log->Log(
      refusing ? LogLevel::kWarning : LogLevel::kInfo, "decisions",
      refusing ? "knowledge of the configuration too old; refusing requests "
                 "that need a key"
               : "knowledge of the configuration recent; accepting keys again",
      {{"age_ms", age ? fmt::format("{}", age->count()) : "unknown"},
       {"bound_ms",
        fmt::format("{}", options_.settings.teams.revoke_within.count())},
       {"version", published_version_}});
}

boost::json::object HostController::DumpFreshness() const {
  if (!freshness_) return {};
  const FreshnessTracker::Counters& counters = freshness_->counters();
  const std::optional<Milliseconds> age = freshness_->Age(boot_now_);
  return {{"bound_ms", options_.settings.teams.revoke_within.count()},
          {"age_ms", age ? boost::json::value(age->count())
                         : boost::json::value(nullptr)},
          {"version", freshness_->proof() ? freshness_->proof()->version : 0},
          {"accepts_keys",
           !published_teams_ || options_.freshness->IsCurrent(boot_now_)},
          {"queries", counters.queries},
          {"replies", counters.replies},
          {"unmatched_replies", counters.unmatched},
          {"timeouts", counters.timeouts},
          {"answered", counters.answered},
          {"store_reads", counters.store_reads}};
}

void HostController::BuildAndStoreRouting(MonoTime now) {
  if (!replicator_->ready()) return;
  if (!routing_changed_ && !urgent_) return;
  if (!urgent_ && now - last_built_ < kMinBuildInterval) return;
  routing_changed_ = false;
  urgent_ = false;
  last_built_ = now;
  block_ends_ = FindNextBlockEnd();
  auto routing = std::make_shared<EffectiveRouting>(
      BuildRouting({.self = options_.settings.host,
                    .snapshot = replicator_->snapshot(),
                    .hosts = replicator_->hosts(),
                    .rollouts = replicator_->rollouts(),
                    .poison = replicator_->poison(),
                    .wall_now = wall_now_,
                    .locally_ejected = rollouts_->locally_ejected()}));
  const EffectiveRoutingPtr previous = options_.routing->Load();
  if (previous != nullptr && *previous == *routing) return;
  LogRouting(*routing);
  published_version_ = routing->head.version;
  published_teams_ = routing->teams != nullptr;
  options_.routing->Store(std::move(routing));
}

WallTime HostController::FindNextBlockEnd() const {
  WallTime next = WallTime::max();
  for (const auto& [fingerprint, record] : replicator_->poison()) {
    const WallTime end = record.BlockedUntil();
    if (end > wall_now_) next = std::min(next, end);
  }
  return next;
}

bool HostController::ready() const {
  return replicator_->ready() && options_.routing->Load() != nullptr;
}

void HostController::OnConfigChanged(const ConfigSnapshotPtr& snapshot) {
  urgent_ = true;
  options_.log->Log(LogLevel::kInfo, "decisions", "configuration activated",
                    {{"version", snapshot->head.version},
                     {"digest", snapshot->head.digest.hex()}});
  options_.log->History("serving", {{"version", snapshot->head.version},
                                    {"digest", snapshot->head.digest.hex()}});
  rollouts_->SetConfig(snapshot);
  quotas_->SetTeams(snapshot->teams, now_);
  options_.config_changed(*snapshot);
}

void HostController::OnRolloutChanged(const RolloutRecord& record) {
  routing_changed_ = true;
  const std::initializer_list<LogField> fields = {
      {"id", record.id.value()},
      {"stage", std::string(RolloutStageName(record.stage))},
      {"share_ppm", record.share_ppm},
      {"signal", record.reason.signal},
      {"evidence", record.reason.sentence}};
  options_.log->Log(LogLevel::kInfo, "rollout", "rollout changed", fields);
  options_.log->History("rollout", fields);
  rollouts_->OnRecord(record);
}

void HostController::LogEvaluation(const RolloutEvaluation& evaluation) {
  options_.log->Log(
      LogLevel::kInfo, "rollout", "rollout evaluated",
      {{"id", evaluation.id.value()},
       {"stage", std::string(RolloutStageName(evaluation.stage))},
       {"share_ppm", evaluation.share_ppm},
       {"hosts", evaluation.hosts},
       {"against_percent", fmt::format("{:.0f}", 100 * evaluation.evidence)},
       {"signal", evaluation.strongest.signal},
       {"evidence", evaluation.strongest.sentence},
       {"in_stage_ms", fmt::format("{}", evaluation.in_stage_for.count())},
       {"left_ms", fmt::format("{}", evaluation.time_left.count())}});
}

void HostController::OnTargetsChanged(MonoTime now) {
  options_.addresses->Store(
      std::make_shared<TargetAddresses>(registry_.addresses()));
  replicator_->SetTargets(registry_.targets(), now);
  urgent_ = true;
}

void HostController::LogRouting(const EffectiveRouting& routing) {
  if (!options_.log->history()) return;
  for (const PoolRouting& pool : routing.pools) {
    std::size_t targets = 0;
    for (const VersionGroup& group : pool.groups)
      targets += group.targets.size();
    options_.log->History("routing", {{"version", routing.head.version},
                                      {"pool", pool.spec.name.value()},
                                      {"targets", targets}});
  }
}

}  // namespace camphor
