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

/// Hosts that a busy one names for an asker to try instead.
inline constexpr std::size_t kAlternatives = 3;

/// Everything behind a Replicator: the records, the parts that act on them, and
/// one handler for each kind of message.
///
/// Owned by its Replicator, which sets `now` before each call and calls Settle
/// after it. Thread safety: the decisions thread.
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

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_REPLICATOR_STATE_H_
