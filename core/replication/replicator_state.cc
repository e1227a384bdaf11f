#include "core/replication/replicator_state.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "core/config/rollout_key.h"
#include "core/replication/record_hash.h"

namespace camphor {
namespace {

// A neighbour's records may differ briefly while a change propagates, so a
// repair starts only after repeated mismatches. The host with the lower mesh
// endpoint starts it; the other one does so only if the difference persists.
constexpr std::uint32_t kMismatchesBeforeRepair = 2;
constexpr std::uint32_t kMismatchesBeforeFallbackRepair = 4;

constexpr Milliseconds kRefutationPeriod{500};

// Maximum number of endpoints with a mismatch count. The limit is reached only
// when many hosts are replaced, and resetting the counts is harmless.
constexpr std::size_t kMaxMismatchEntries = 256;

// A host that may not serve yet also asks some hosts that may not be
// neighbours, since all its neighbours may be in its own failure domain.
constexpr std::size_t kColdStartHeadRequests = 2;
constexpr Milliseconds kColdStartRequestPeriod{500};

// Served versions take some time to propagate. A difference that persists for
// this many heartbeats means that a message was lost.
constexpr std::uint32_t kMismatchesBeforeAppliedRepair = 5;

}  // namespace

void Replicator::State::On(const Endpoint& from,
                           const RecordsMessage& message) {
  // Reply with the stored records where those of the sender are older.
  RecordsMessage newer{.head = config.head()};
  for (const HostRecord& record : message.hosts) {
    if (MergeHost(record, from) == MergeResult::kOlder)
      store.AppendRecord(record.host, newer);
  }
  for (const RolloutRecord& record : message.rollouts)
    MergeRecord(record, from);
  for (const PoisonRecord& record : message.poison) MergeRecord(record, from);
  if (!newer.hosts.empty() && RepairEnabled()) options.send(from, newer);
  if (PushesConfig()) config.OnPeerHead(from, message.head, now);
}

void Replicator::State::On(const Endpoint& from,
                           const SnapshotRequest& request) {
  config.OnRequest(from, request, now);
}

void Replicator::State::On(const Endpoint& from, const SnapshotReply& reply) {
  if (PushesConfig()) config.OnReply(from, reply, now);
}

void Replicator::State::On(const Endpoint& /*from*/,
                           const EvidenceReport& report) {
  options.evidence(report);
}

void Replicator::State::On(const Endpoint& from, const Heartbeat& heartbeat) {
  membership.OnHeartbeat(from, heartbeat);
  NotifySuspectedSender(from);
  const HostRecord* sender = store.FindHost(from);
  if (sender != nullptr && heartbeat.ready) {
    cold_start.OnServingPeer(sender->domain, heartbeat.version, now);
    RecordApplied(*sender, heartbeat.version, from);
  }
  if (!RepairEnabled()) return;
  // The host that is ahead reports its head; the other one requests the
  // snapshot.
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
  membership.OnSuspicionReport(from, report, now);
}

void Replicator::State::On(const Endpoint& from,
                           const AppliedVersions& applied) {
  for (const std::uint32_t hash : applied.hosts) {
    if (store.SetApplied(hash, applied.version))
      push.AddApplied(hash, applied.version, from);
    else
      push.MarkAppliedKnown(hash, applied.version, from);
  }
}

void Replicator::State::On(const Endpoint& from, const QuotaReport& report) {
  if (options.quota_report) options.quota_report(from, report);
}

void Replicator::State::On(const Endpoint& from, const QuotaGrants& grants) {
  if (options.quota_grants) options.quota_grants(from, grants);
}

void Replicator::State::On(const Endpoint& from, const FreshnessQuery& query) {
  if (options.freshness_query) options.freshness_query(from, query);
}

void Replicator::State::On(const Endpoint& from, const FreshnessReply& reply) {
  if (!options.freshness_reply) return;
  options.freshness_reply(from, reply);
  // A sender with a newer configuration answers a heartbeat with its head.
  if (reply.version > config.head().version && RepairEnabled())
    options.send(from, MakeHeartbeat(false));
}

void Replicator::State::On(const Endpoint& from,
                           const DepartureNotice& notice) {
  if (options.departure_notice) options.departure_notice(from, notice);
}

void Replicator::State::On(const Endpoint& from,
                           const DepartureReceipt& receipt) {
  if (options.departure_receipt) options.departure_receipt(from, receipt);
}

Heartbeat Replicator::State::MakeHeartbeat(bool reply_wanted) const {
  return {.version = config.head().version,
          .fingerprint = store.fingerprint(),
          .applied_fingerprint = store.applied_fingerprint(),
          .ready = cold_start.ready(),
          .reply_wanted = reply_wanted};
}

void Replicator::State::Join(const Endpoint& peer) {
  options.send(peer,
               RecordsMessage{.head = config.head(), .hosts = {OwnRecord()}});
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
                                     : kMismatchesBeforeFallbackRepair;
  if (mismatches.size() > kMaxMismatchEntries) mismatches.clear();
  if (++mismatches[from] < limit || now < next_repair) return;
  mismatches.erase(from);
  next_repair = now + options.settings.repair_period;
  repair.Start(from);
}

void Replicator::State::NotifySuspectedSender(const Endpoint& from) {
  // A live host that is marked suspect or dead can refute this only once it is
  // informed.
  const HostRecord* sender = store.FindHost(from);
  const bool marked_failed =
      sender != nullptr && (sender->status == HostStatus::kDead ||
                            sender->status == HostStatus::kSuspect);
  if (marked_failed)
    options.send(from,
                 RecordsMessage{.head = config.head(), .hosts = {*sender}});
}

MergeResult Replicator::State::MergeHost(const HostRecord& record,
                                         const std::optional<Endpoint>& from) {
  if (record.host == self) return MergeOwnHost(record);
  const MergeResult result = store.Merge(record, now);
  if (result != MergeResult::kChanged) return result;
  membership.OnHostsChanged();
  hosts_changed = true;
  push.Add(record.host, from);
  return result;
}

MergeResult Replicator::State::MergeOwnHost(const HostRecord& record) {
  HostRecord own = OwnRecord();
  HostRecord same_version = record;
  same_version.config_version = own.config_version;
  if (same_version == own) return MergeResult::kUnchanged;
  if (std::tie(record.incarnation, record.sequence) <
      std::tie(own.incarnation, own.sequence))
    return MergeResult::kOlder;

  // Rate limit: two processes with the same id would refute each other
  // endlessly.
  if (now < next_refutation) return MergeResult::kUnchanged;
  next_refutation = now + kRefutationPeriod;
  if (record.incarnation > own.incarnation) {
    // An earlier process of this host had a clock that was ahead. Move to a
    // later incarnation.
    ++incarnation_clashes;
    own.incarnation = record.incarnation + 1;
  }
  own.sequence = std::max(own.sequence, record.sequence) + 1;
  PublishOwnRecord(own);
  return MergeResult::kUnchanged;
}

void Replicator::State::PublishOwnRecord(const HostRecord& record) {
  store.Merge(record, now);
  membership.OnHostsChanged();
  hosts_changed = true;
  push.Add(self, std::nullopt);
}

void Replicator::State::MergeRecord(const RolloutRecord& record,
                                    const std::optional<Endpoint>& from) {
  if (store.Merge(record, now) != MergeResult::kChanged) return;
  push.Add(record.id, from);
  options.rollout_changed(store.rollouts().at(record.id));
}

void Replicator::State::MergeRecord(const PoisonRecord& record,
                                    const std::optional<Endpoint>& from) {
  if (store.Merge(record) != MergeResult::kChanged) return;
  push.Add(record.fingerprint, from);
  poison_changed = true;
}

void Replicator::State::RecordApplied(const HostRecord& record,
                                      ConfigVersion version,
                                      const std::optional<Endpoint>& from) {
  const std::uint32_t hash = IncarnationHash(record.host, record.incarnation);
  if (store.SetApplied(hash, version)) push.AddApplied(hash, version, from);
}

void Replicator::State::OnSnapshotChanged(const std::optional<Endpoint>& from) {
  // Push before serving, so that a version that is served is held by other
  // hosts too.
  if (PushesConfig()) {
    const MeshMessage message = config.MakePush();
    for (const Endpoint& neighbour : membership.neighbours())
      if (neighbour != from) options.send(neighbour, message);
  }
  UpdateColdStart();
  if (cold_start.ready()) ServeLatestSnapshot();
}

void Replicator::State::ServeLatestSnapshot() {
  const ConfigSnapshotPtr& newest = config.snapshot();
  if (!newest || newest == serving) return;
  serving = newest;
  RecordApplied(OwnRecord(), serving->head.version, std::nullopt);
  std::set<RolloutId> active;
  for (const PoolSpec& pool : serving->pools)
    if (pool.rollout) active.insert(RolloutKey::FromPool(pool).id());
  store.SetActiveRollouts(std::move(active), now);
  options.config_changed(serving);
}

void Replicator::State::UpdateColdStart() {
  if (cold_start.ready()) return;
  cold_start.Update(config.head().version, membership.overlay().domain_count(),
                    now);
}

void Replicator::State::RequestHeads() {
  if (cold_start.ready() || now < next_head_request) return;
  next_head_request = now + kColdStartRequestPeriod;
  // A host with a newer version replies with its head.
  for (const Endpoint& host : membership.SampleHosts(kColdStartHeadRequests))
    options.send(host, MakeHeartbeat(true));
}

void Replicator::State::RepairAppliedIfDiffering(const Endpoint& from,
                                                 const Heartbeat& heartbeat) {
  if (heartbeat.applied_fingerprint == store.applied_fingerprint()) {
    applied_mismatches.erase(from);
    return;
  }
  if (applied_mismatches.size() > kMaxMismatchEntries)
    applied_mismatches.clear();
  if (++applied_mismatches[from] < kMismatchesBeforeAppliedRepair) return;
  applied_mismatches.erase(from);
  for (const AppliedVersions& message : store.CollectApplied())
    options.send(from, message);
}

void Replicator::State::FlushChanges() {
  push.Flush(now);
  if (std::exchange(hosts_changed, false)) options.hosts_changed();
  if (std::exchange(poison_changed, false)) options.poison_changed();
}

}  // namespace camphor
