#include "core/replication/replicator.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <utility>

#include "core/replication/replicator_state.h"

namespace camphor {

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
  state_->membership.OnMessageReceived(from, now);
  state_->FlushChanges();
}

void Replicator::OnPeerState(const Endpoint& peer, bool connected,
                             MonoTime now) {
  state_->now = now;
  state_->membership.OnPeerState(peer, connected, now);
}

void Replicator::SetTargets(std::vector<TargetInfo> targets, MonoTime now) {
  state_->now = now;
  std::ranges::sort(targets, {}, &TargetInfo::id);
  HostRecord own = state_->OwnRecord();
  if (own.targets == targets) return;
  own.targets = std::move(targets);
  ++own.sequence;
  state_->PublishOwnRecord(own);
  state_->FlushChanges();
}

void Replicator::SetPlatformLost(bool lost, MonoTime now) {
  state_->now = now;
  HostRecord own = state_->OwnRecord();
  if (own.platform_lost == lost) return;
  own.platform_lost = lost;
  ++own.sequence;
  state_->PublishOwnRecord(own);
  state_->FlushChanges();
}

void Replicator::Leave(MonoTime now) {
  state_->now = now;
  HostRecord own = state_->OwnRecord();
  own.status = HostStatus::kLeaving;
  ++own.sequence;
  state_->PublishOwnRecord(own);
  state_->push.FlushRecords();
  state_->FlushChanges();
}

void Replicator::Publish(const RolloutRecord& record, MonoTime now) {
  state_->now = now;
  state_->MergeRecord(record, std::nullopt);
  state_->FlushChanges();
}

void Replicator::Publish(const PoisonRecord& record, MonoTime now) {
  state_->now = now;
  state_->MergeRecord(record, std::nullopt);
  state_->FlushChanges();
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
  state_->UpdateColdStart();
  if (state_->cold_start.ready()) state_->ServeLatestSnapshot();
  state_->FlushChanges();
}

void Replicator::OnPlatformSnapshot(const ConfigSnapshot& snapshot,
                                    MonoTime now) {
  state_->now = now;
  state_->config.OnPlatformSnapshot(snapshot);
  state_->FlushChanges();
}

void Replicator::Tick(MonoTime now, WallTime wall_now) {
  state_->now = now;
  state_->membership.Tick(now);
  state_->config.Tick(now);
  if (state_->store.Expire(now, wall_now)) state_->poison_changed = true;
  state_->RequestHeads();
  state_->UpdateColdStart();
  if (state_->cold_start.ready()) state_->ServeLatestSnapshot();
  state_->FlushChanges();
}

void Replicator::AddSeeds(const std::vector<Endpoint>& seeds, MonoTime now) {
  state_->now = now;
  state_->membership.AddSeeds(seeds, now);
  state_->FlushChanges();
}

bool Replicator::alone() const {
  return state_->membership.neighbours().empty();
}

bool Replicator::ready() const { return state_->cold_start.ready(); }

bool Replicator::is_platform_poller() const {
  if (!ready()) return true;
  switch (state_->options.settings.mode) {
    case DisseminationMode::kFull:
      return state_->membership.is_poller() || isolated();
    case DisseminationMode::kPollOnly:
      return true;
    case DisseminationMode::kPushOnly:
      return false;
  }
  return false;
}

bool Replicator::isolated() const {
  return state_->membership.isolated(state_->now);
}

std::vector<Endpoint> Replicator::neighbours() const {
  return state_->membership.neighbours();
}

std::vector<Endpoint> Replicator::own_pollers() const {
  return state_->membership.PollersOfOwnDomain();
}

std::vector<Endpoint> Replicator::other_pollers() const {
  return state_->membership.PollersOfOtherDomains();
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
        {"wholes_applied", config.full_snapshots_applied},
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
