#include "core/replication/replicator_state.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "core/config/rollout_key.h"
#include "core/replication/record_hash.h"

namespace camphor {
namespace {

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
    if (pool.rollout) active.insert(RolloutKey::FromPool(pool).id());
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

}  // namespace camphor
