#ifndef CAMPHORHILL_CORE_REPLICATION_REPLICATOR_STATE_H_
#define CAMPHORHILL_CORE_REPLICATION_REPLICATOR_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/membership/membership.h"
#include "core/replication/cold_start.h"
#include "core/replication/config_sync.h"
#include "core/replication/push_queue.h"
#include "core/replication/record_repair.h"
#include "core/replication/record_store.h"
#include "core/replication/replicator.h"

namespace camphor {

/// Maximum number of alternative hosts in a SyncBusy message.
inline constexpr std::size_t kMaxAlternatives = 3;

/// Implementation of Replicator: the records, the components that act on them,
/// and one handler per message type.
///
/// Replicator sets `now` before each call and calls FlushChanges after it. Must
/// be used from the decisions thread.
struct Replicator::State {
  explicit State(Options options_in)
      : options(std::move(options_in)),
        store(options.settings),
        cold_start(options.settings),
        config({.send = options.send,
                .fetch_from_platform = options.fetch_snapshot,
                .snapshot_changed =
                    [this](const std::optional<Endpoint>& from) {
                      OnSnapshotChanged(from);
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
                   MergeHost(record, std::nullopt);
                 },
             .join = [this](const Endpoint& peer) { Join(peer); }},
            store, options.settings),
        repair(
            {.send = options.send,
             .head = [this] { return config.head(); },
             .alternatives =
                 [this] { return membership.SampleHosts(kMaxAlternatives); }},
            store, options.settings),
        push({.send = options.send,
              .neighbours = [this] { return membership.neighbours(); },
              .head = [this] { return config.head(); }},
             store, options.settings) {}

  bool PushesConfig() const {
    return options.settings.mode != DisseminationMode::kPollOnly;
  }
  bool RepairEnabled() const {
    return options.settings.mode == DisseminationMode::kFull;
  }
  const HostRecord& OwnRecord() const { return store.hosts().at(self); }

  // Message handlers, one per message type.
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
  void On(const Endpoint& from, const QuotaReport& report);
  void On(const Endpoint& from, const QuotaGrants& grants);
  void On(const Endpoint& from, const FreshnessQuery& query);
  void On(const Endpoint& from, const FreshnessReply& reply);
  void On(const Endpoint& from, const DepartureNotice& notice);
  void On(const Endpoint& from, const DepartureReceipt& receipt);

  Heartbeat MakeHeartbeat(bool reply_wanted) const;
  void Join(const Endpoint& peer);
  void RepairIfDiffering(const Endpoint& from, const Heartbeat& heartbeat);
  void NotifySuspectedSender(const Endpoint& from);
  MergeResult MergeHost(const HostRecord& record,
                        const std::optional<Endpoint>& from);
  MergeResult MergeOwnHost(const HostRecord& record);
  void PublishOwnRecord(const HostRecord& record);
  void MergeRecord(const RolloutRecord& record,
                   const std::optional<Endpoint>& from);
  void MergeRecord(const PoisonRecord& record,
                   const std::optional<Endpoint>& from);
  void RecordApplied(const HostRecord& record, ConfigVersion version,
                     const std::optional<Endpoint>& from);
  void OnSnapshotChanged(const std::optional<Endpoint>& from);
  void ServeLatestSnapshot();
  void UpdateColdStart();
  void RequestHeads();
  void RepairAppliedIfDiffering(const Endpoint& from,
                                const Heartbeat& heartbeat);
  void FlushChanges();

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
  MonoTime next_head_request{};
  std::map<Endpoint, std::uint32_t> applied_mismatches{};
  ConfigSnapshotPtr serving{};
  bool hosts_changed = false;
  bool poison_changed = false;
  std::uint64_t incarnation_clashes = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_REPLICATOR_STATE_H_
