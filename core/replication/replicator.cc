#include "core/replication/replicator.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <set>
#include <tuple>
#include <utility>

#include "core/membership/membership.h"
#include "core/replication/cold_start.h"
#include "core/replication/config_sync.h"
#include "core/replication/push_queue.h"
#include "core/replication/record_hash.h"
#include "core/replication/record_repair.h"
#include "core/replication/record_store.h"
#include "core/routing/routing_builder.h"

namespace camphor {
namespace {

constexpr std::size_t kAlternatives = 3;

// A neighbour's records may differ for a moment while a change travels; only
// what stays different is repaired, and one side of the two begins.
constexpr std::uint32_t kMismatchesBeforeRepair = 2;
constexpr std::uint32_t kMismatchesBeforeRepairByOther = 4;

constexpr Milliseconds kRefutationPeriod{500};

// Endpoints whose heartbeats differed, at most; more come only from hosts that
// were replaced, and starting to count anew does no harm.
constexpr std::size_t kMostMismatches = 256;

// A host that may not serve yet asks some hosts outside of its neighbours, too:
// all of these may stand in its own failure domain.
constexpr std::size_t kColdStartHostsAsked = 2;
constexpr Milliseconds kColdStartAskPeriod{500};

// Versions in force take a while to be known everywhere; what is still unknown
// after so many heartbeats was lost.
constexpr std::uint32_t kMismatchesBeforeAppliedRepair = 5;

}  // namespace

struct Replicator::State {
  explicit State(Options options_in)
      : options(std::move(options_in)),
        store(options.settings),
        cold_start(options.settings),
        config({.send = options.send,
                .fetch_from_platform = options.fetch_snapshot,
                .in_force =
                    [this](const std::optional<Endpoint>& from) {
                      OnInForce(from);
                    }},
               options.settings),
        membership(
            {.self = options.self.host,
             .mesh = options.self.mesh,
             .seeds = options.seeds,
             .random_seed = options.random_seed,
             .send = options.send,
             .heartbeat = [this](bool reply) { return MakeHeartbeat(reply); },
             .publish =
                 [this](const HostRecord& record) {
                   TakeHost(record, std::nullopt);
                 },
             .join = [this](const Endpoint& peer) { Join(peer); }},
            store, options.settings),
        repair({.send = options.send,
                .head = [this] { return config.head(); },
                .alternatives =
                    [this] { return membership.SomeHosts(kAlternatives); }},
               store, options.settings),
        push({.send = options.send,
              .neighbours = [this] { return membership.neighbours(); },
              .head = [this] { return config.head(); }},
             store, options.settings) {}

  bool TakesHeads() const {
    return options.settings.mode != DisseminationMode::kPollOnly;
  }
  bool Repairs() const {
    return options.settings.mode == DisseminationMode::kFull;
  }
  const HostRecord& Self() const { return store.hosts().at(self); }

  // One handler for each kind of message.
  void On(const Endpoint& from, const RecordsMessage& message);
  void On(const Endpoint& from, const SnapshotRequest& request);
  void On(const Endpoint& from, const SnapshotReply& reply);
  void On(const Endpoint& from, const EvidenceReport& report);
  void On(const Endpoint& from, const Heartbeat& heartbeat);
  void On(const Endpoint& from, const SyncDigest& digest);
  void On(const Endpoint& from, const SyncEntries& entries);
  void On(const Endpoint& from, const SyncWanted& wanted);
  void On(const Endpoint& from, const SyncBusy& busy);
  void On(const Endpoint& from, const SuspicionReport& report);
  void On(const Endpoint& from, const AppliedVersions& applied);

  Heartbeat MakeHeartbeat(bool reply_wanted) const;
  void Join(const Endpoint& peer);
  void RepairIfDiffering(const Endpoint& from, const Heartbeat& heartbeat);
  void TellDeadSender(const Endpoint& from);
  MergeResult TakeHost(const HostRecord& record,
                       const std::optional<Endpoint>& from);
  MergeResult TakeOwn(const HostRecord& record);
  void WriteSelf(const HostRecord& record);
  void Take(const RolloutRecord& record, const std::optional<Endpoint>& from);
  void Take(const PoisonRecord& record, const std::optional<Endpoint>& from);
  void Applied(const HostRecord& record, ConfigVersion version,
               const std::optional<Endpoint>& from);
  void OnInForce(const std::optional<Endpoint>& from);
  void Serve();
  void DecideColdStart();
  void AskForHeads();
  void RepairAppliedIfDiffering(const Endpoint& from,
                                const Heartbeat& heartbeat);
  void Settle();

  Options options;
  HostId self{options.self.host};
  MonoTime now{};
  RecordStore store;
  ColdStart cold_start;
  ConfigSync config;
  Membership membership;
  RecordRepair repair;
  PushQueue push;
  std::map<Endpoint, std::uint32_t> mismatches{};
  MonoTime next_repair{};
  MonoTime next_refutation{};
  MonoTime next_ask{};
  std::map<Endpoint, std::uint32_t> applied_mismatches{};
  ConfigSnapshotPtr serving{};
  bool hosts_changed = false;
  bool poison_changed = false;
  std::uint64_t incarnation_clashes = 0;
};

void Replicator::State::On(const Endpoint& from,
                           const RecordsMessage& message) {
  // A sender that is behind gets what we hold instead.
  RecordsMessage newer{.head = config.head()};
  for (const HostRecord& record : message.hosts) {
    if (TakeHost(record, from) == MergeResult::kOlder)
      store.Collect(record.host, newer);
  }
  for (const RolloutRecord& record : message.rollouts) Take(record, from);
  for (const PoisonRecord& record : message.poison) Take(record, from);
  if (!newer.hosts.empty() && Repairs()) options.send(from, newer);
  if (TakesHeads()) config.OnPeerHead(from, message.head, now);
}

void Replicator::State::On(const Endpoint& from,
                           const SnapshotRequest& request) {
  config.OnRequest(from, request, now);
}

void Replicator::State::On(const Endpoint& from, const SnapshotReply& reply) {
  if (TakesHeads()) config.OnReply(from, reply, now);
}

void Replicator::State::On(const Endpoint& /*from*/,
                           const EvidenceReport& report) {
  options.evidence(report);
}

void Replicator::State::On(const Endpoint& from, const Heartbeat& heartbeat) {
  membership.OnHeartbeat(from, heartbeat);
  TellDeadSender(from);
  const HostRecord* sender = store.FindHost(from);
  if (sender != nullptr && heartbeat.ready) {
    cold_start.OnServingPeer(sender->domain, heartbeat.version, now);
    Applied(*sender, heartbeat.version, from);
  }
  if (!Repairs()) return;
  // The one of the two that is ahead names its head, and the other one asks.
  if (heartbeat.version < config.head().version)
    options.send(from, RecordsMessage{.head = config.head()});
  if (heartbeat.version > config.head().version)
    options.send(from, MakeHeartbeat(false));
  RepairIfDiffering(from, heartbeat);
  if (membership.IsNeighbour(from)) RepairAppliedIfDiffering(from, heartbeat);
}

void Replicator::State::On(const Endpoint& from, const SyncDigest& digest) {
  repair.OnDigest(from, digest, now);
}

void Replicator::State::On(const Endpoint& from, const SyncEntries& entries) {
  repair.OnEntries(from, entries);
}

void Replicator::State::On(const Endpoint& from, const SyncWanted& wanted) {
  repair.OnWanted(from, wanted);
}

void Replicator::State::On(const Endpoint& /*from*/, const SyncBusy& busy) {
  membership.OnBusy(busy, now);
}

void Replicator::State::On(const Endpoint& from,
                           const SuspicionReport& report) {
  membership.OnReport(from, report, now);
}

void Replicator::State::On(const Endpoint& from,
                           const AppliedVersions& applied) {
  for (const std::uint32_t hash : applied.hosts) {
    if (store.SetApplied(hash, applied.version))
      push.AddApplied(hash, applied.version, from);
    else
      push.NoteApplied(hash, applied.version, from);
  }
}

Heartbeat Replicator::State::MakeHeartbeat(bool reply_wanted) const {
  return {.version = config.head().version,
          .fingerprint = store.fingerprint(),
          .applied_fingerprint = store.applied_fingerprint(),
          .ready = cold_start.ready(),
          .reply_wanted = reply_wanted};
}

void Replicator::State::Join(const Endpoint& peer) {
  options.send(peer, RecordsMessage{.head = config.head(), .hosts = {Self()}});
  options.send(peer, MakeHeartbeat(true));
  repair.Start(peer);
}

void Replicator::State::RepairIfDiffering(const Endpoint& from,
                                          const Heartbeat& heartbeat) {
  if (heartbeat.fingerprint == store.fingerprint()) {
    mismatches.erase(from);
    return;
  }
  std::uint32_t limit = 1;
  if (membership.IsNeighbour(from))
    limit = options.self.mesh < from ? kMismatchesBeforeRepair
                                     : kMismatchesBeforeRepairByOther;
  if (mismatches.size() > kMostMismatches) mismatches.clear();
  if (++mismatches[from] < limit || now < next_repair) return;
  mismatches.erase(from);
  next_repair = now + options.settings.repair_period;
  repair.Start(from);
}

void Replicator::State::TellDeadSender(const Endpoint& from) {
  // A host that is held for dead but speaks must hear of it to refute.
  const HostRecord* sender = store.FindHost(from);
  const bool wrong =
      sender != nullptr && (sender->status == HostStatus::kDead ||
                            sender->status == HostStatus::kSuspect);
  if (wrong)
    options.send(from,
                 RecordsMessage{.head = config.head(), .hosts = {*sender}});
}

MergeResult Replicator::State::TakeHost(const HostRecord& record,
                                        const std::optional<Endpoint>& from) {
  if (record.host == self) return TakeOwn(record);
  const MergeResult result = store.Merge(record, now);
  if (result != MergeResult::kChanged) return result;
  membership.HostsChanged();
  hosts_changed = true;
  push.Add(record.host, from);
  return result;
}

MergeResult Replicator::State::TakeOwn(const HostRecord& record) {
  HostRecord own = Self();
  HostRecord same_version = record;
  same_version.config_version = own.config_version;
  if (same_version == own) return MergeResult::kUnchanged;
  if (std::tie(record.incarnation, record.sequence) <
      std::tie(own.incarnation, own.sequence))
    return MergeResult::kOlder;

  // Two processes with one id would refute each other without end.
  if (now < next_refutation) return MergeResult::kUnchanged;
  next_refutation = now + kRefutationPeriod;
  if (record.incarnation > own.incarnation) {
    // An earlier life had a clock that was ahead: this life comes after it.
    ++incarnation_clashes;
    own.incarnation = record.incarnation + 1;
  }
  own.sequence = std::max(own.sequence, record.sequence) + 1;
  WriteSelf(own);
  return MergeResult::kUnchanged;
}

void Replicator::State::WriteSelf(const HostRecord& record) {
  store.Merge(record, now);
  membership.HostsChanged();
  hosts_changed = true;
  push.Add(self, std::nullopt);
}

void Replicator::State::Take(const RolloutRecord& record,
                             const std::optional<Endpoint>& from) {
  if (store.Merge(record, now) != MergeResult::kChanged) return;
  push.Add(record.id, from);
  options.rollout_changed(store.rollouts().at(record.id));
}

void Replicator::State::Take(const PoisonRecord& record,
                             const std::optional<Endpoint>& from) {
  if (store.Merge(record) != MergeResult::kChanged) return;
  push.Add(record.fingerprint, from);
  poison_changed = true;
}

void Replicator::State::Applied(const HostRecord& record, ConfigVersion version,
                                const std::optional<Endpoint>& from) {
  const std::uint32_t hash = IncarnationHash(record.host, record.incarnation);
  if (store.SetApplied(hash, version)) push.AddApplied(hash, version, from);
}

void Replicator::State::OnInForce(const std::optional<Endpoint>& from) {
  // Neighbours hear of it first, so that others hold what this host serves.
  if (TakesHeads()) {
    const MeshMessage message = config.MakePush();
    for (const Endpoint& neighbour : membership.neighbours())
      if (neighbour != from) options.send(neighbour, message);
  }
  DecideColdStart();
  if (cold_start.ready()) Serve();
}

void Replicator::State::Serve() {
  const ConfigSnapshotPtr& newest = config.snapshot();
  if (!newest || newest == serving) return;
  serving = newest;
  Applied(Self(), serving->head.version, std::nullopt);
  std::set<RolloutId> active;
  for (const PoolSpec& pool : serving->pools)
    if (pool.rollout) active.insert(RolloutIdOf(pool));
  store.SetActiveRollouts(std::move(active), now);
  options.config_changed(serving);
}

void Replicator::State::DecideColdStart() {
  if (cold_start.ready()) return;
  cold_start.Decide(config.head().version, membership.overlay().domain_count(),
                    now);
}

void Replicator::State::AskForHeads() {
  if (cold_start.ready() || now < next_ask) return;
  next_ask = now + kColdStartAskPeriod;
  // A host that is ahead of this one names its head in return.
  for (const Endpoint& host : membership.SomeHosts(kColdStartHostsAsked))
    options.send(host, MakeHeartbeat(true));
}

void Replicator::State::RepairAppliedIfDiffering(const Endpoint& from,
                                                 const Heartbeat& heartbeat) {
  if (heartbeat.applied_fingerprint == store.applied_fingerprint()) {
    applied_mismatches.erase(from);
    return;
  }
  if (applied_mismatches.size() > kMostMismatches) applied_mismatches.clear();
  if (++applied_mismatches[from] < kMismatchesBeforeAppliedRepair) return;
  applied_mismatches.erase(from);
  for (const AppliedVersions& message : store.CollectApplied())
    options.send(from, message);
}

void Replicator::State::Settle() {
  push.Flush(now);
  if (std::exchange(hosts_changed, false)) options.hosts_changed();
  if (std::exchange(poison_changed, false)) options.poison_changed();
}

Replicator::Replicator(Options options)
    : state_(std::make_unique<State>(std::move(options))) {
  assert(!state_->self.empty() && state_->options.self.incarnation > 0);
  state_->store.Merge(state_->options.self, MonoTime{});
}

Replicator::~Replicator() = default;

void Replicator::OnMessage(const Endpoint& from, const MeshMessage& message,
                           MonoTime now) {
  state_->now = now;
  std::visit([&](const auto& typed) { state_->On(from, typed); }, message);
  state_->membership.Heard(from, now);
  state_->Settle();
}

void Replicator::OnPeerState(const Endpoint& peer, bool connected,
                             MonoTime now) {
  state_->now = now;
  state_->membership.OnPeerState(peer, connected, now);
}

void Replicator::SetTargets(std::vector<TargetInfo> targets, MonoTime now) {
  state_->now = now;
  std::ranges::sort(targets, {}, &TargetInfo::id);
  HostRecord own = state_->Self();
  if (own.targets == targets) return;
  own.targets = std::move(targets);
  ++own.sequence;
  state_->WriteSelf(own);
  state_->Settle();
}

void Replicator::Leave(MonoTime now) {
  state_->now = now;
  HostRecord own = state_->Self();
  own.status = HostStatus::kLeaving;
  ++own.sequence;
  state_->WriteSelf(own);
  state_->push.FlushNow();
  state_->Settle();
}

void Replicator::Publish(const RolloutRecord& record, MonoTime now) {
  state_->now = now;
  state_->Take(record, std::nullopt);
  state_->Settle();
}

void Replicator::Publish(const PoisonRecord& record, MonoTime now) {
  state_->now = now;
  state_->Take(record, std::nullopt);
  state_->Settle();
}

void Replicator::SendEvidence(const HostId& to, const EvidenceReport& report,
                              MonoTime now) {
  state_->now = now;
  const HostRecord* host = state_->store.FindHost(to);
  if (host != nullptr) state_->options.send(host->mesh, report);
}

void Replicator::OnPlatformHead(const ConfigHead& head, MonoTime now) {
  state_->now = now;
  state_->cold_start.OnPlatformHead(head);
  state_->config.OnPlatformHead(head, now);
  state_->DecideColdStart();
  if (state_->cold_start.ready()) state_->Serve();
  state_->Settle();
}

void Replicator::OnPlatformSnapshot(const ConfigSnapshot& snapshot,
                                    MonoTime now) {
  state_->now = now;
  state_->config.OnPlatformSnapshot(snapshot);
  state_->Settle();
}

void Replicator::Tick(MonoTime now, WallTime wall_now) {
  state_->now = now;
  state_->membership.Tick(now);
  state_->config.Tick(now);
  if (state_->store.Expire(now, wall_now)) state_->poison_changed = true;
  state_->AskForHeads();
  state_->DecideColdStart();
  if (state_->cold_start.ready()) state_->Serve();
  state_->Settle();
}

bool Replicator::ready() const { return state_->cold_start.ready(); }

bool Replicator::is_platform_poller() const {
  if (!ready()) return true;
  switch (state_->options.settings.mode) {
    case DisseminationMode::kFull:
      return state_->membership.is_poller();
    case DisseminationMode::kPollOnly:
      return true;
    case DisseminationMode::kPushOnly:
      return false;
  }
  return false;
}

const std::map<HostId, HostRecord>& Replicator::hosts() const {
  return state_->store.hosts();
}

const std::map<RolloutId, RolloutRecord>& Replicator::rollouts() const {
  return state_->store.rollouts();
}

const std::map<std::uint64_t, PoisonRecord>& Replicator::poison() const {
  return state_->store.poison();
}

const ConfigSnapshotPtr& Replicator::snapshot() const {
  return state_->serving;
}

std::string Replicator::DumpJson() const {
  const State& state = *state_;
  boost::json::array neighbours;
  for (const Endpoint& neighbour : state.membership.neighbours())
    neighbours.emplace_back(neighbour.ToString());
  const ConfigSync::Counters& config = state.config.counters();
  const RecordRepair::Counters& repair = state.repair.counters();
  const FailureDetector& detector = state.membership.detector();
  return boost::json::serialize(boost::json::object{
      {"ready", ready()},
      {"waiting_for", state.cold_start.waiting_for()},
      {"version_held", state.config.head().version},
      {"version_served", state.serving ? state.serving->head.version : 0},
      {"platform_poller", is_platform_poller()},
      {"fingerprint", state.store.fingerprint()},
      {"records",
       {{"hosts", state.store.hosts().size()},
        {"rollouts", state.store.rollouts().size()},
        {"poison", state.store.poison().size()}}},
      {"neighbours", std::move(neighbours)},
      {"snapshots",
       {{"deltas_applied", config.deltas_applied},
        {"wholes_applied", config.wholes_applied},
        {"refused", config.refused},
        {"stale", config.stale},
        {"platform_fetches", config.platform_fetches}}},
      {"repair",
       {{"started", repair.started},
        {"answered", repair.answered},
        {"refused", repair.refused},
        {"records_sent", repair.records}}},
      {"suspicions",
       {{"raised", detector.raised()},
        {"withdrawn", detector.withdrawn()},
        {"confirmed", detector.confirmed()}}},
      {"incarnation_clashes", state.incarnation_clashes}});
}

}  // namespace camphor
