#include "core/rollout/rollout_manager.h"

#include <boost/json.hpp>
#include <memory>
#include <utility>

#include "core/config/rollout_key.h"
#include "core/rollout/rollout_tracker.h"

namespace camphor {
namespace {

// Limit for records of rollouts that the configuration does not contain yet.
constexpr std::size_t kMaxUnmatched = 1024;

}  // namespace

struct RolloutManager::State {
  Options options;
  std::map<RolloutId, std::unique_ptr<RolloutTracker>> trackers{};
  std::map<RolloutId, RolloutRecord> unmatched_records{};
  std::map<HostId, HostRecord> hosts{};
  bool configured = false;  // a configuration was applied before
  std::set<std::pair<PoolName, TargetVersion>> ejected{};
  // Trackers by pool index in the most recently sampled routing.
  EffectiveRoutingPtr sampled{};
  std::vector<RolloutTracker*> by_pool{};

  RolloutTracker* Find(const RolloutId& id);
  void Add(const RolloutId& id, const PoolSpec& pool);
  void Update(RolloutTracker& tracker) const;
  void UpdateEjected();
};

RolloutTracker* RolloutManager::State::Find(const RolloutId& id) {
  const auto found = trackers.find(id);
  return found == trackers.end() ? nullptr : found->second.get();
}

void RolloutManager::State::Add(const RolloutId& id, const PoolSpec& pool) {
  auto tracker = std::make_unique<RolloutTracker>(RolloutTracker::Options{
      .host = options.host,
      .incarnation = options.incarnation,
      .id = id,
      .pool = pool,
      .settings = pool.rollout->allowed.count() > 0 ? options.short_rollout
                                                    : options.rollout,
      .may_be_in_progress = !configured,
      .publish = options.publish,
      .send_evidence = options.send_evidence,
      .evaluated = options.evaluated});
  Update(*tracker);
  const auto unmatched = unmatched_records.find(id);
  if (unmatched != unmatched_records.end()) {
    tracker->OnRecord(unmatched->second);
    unmatched_records.erase(unmatched);
  }
  trackers[id] = std::move(tracker);
}

void RolloutManager::State::Update(RolloutTracker& tracker) const {
  const PoolSpec& pool = tracker.pool();
  std::vector<HostId> live;
  RolloutTargets targets;
  for (const auto& [id, host] : hosts) {
    if (host.status == HostStatus::kDead) continue;
    if (host.status == HostStatus::kLeaving) continue;
    if (host.status == HostStatus::kAlive) live.push_back(id);
    for (const TargetInfo& target : host.targets) {
      if (target.pool != pool.name || target.status == TargetStatus::kLeaving) {
        continue;
      }
      if (target.version == pool.rollout->version) {
        targets.new_version[target.id] = id;
        targets.new_slots += target.slots;
      } else if (pool.version.empty() || target.version == pool.version) {
        targets.old_version[target.id] = id;
      }
    }
  }
  tracker.SetTree(EvidenceTree(tracker.record().id, std::move(live)));
  tracker.SetTargets(std::move(targets), [this](const HostId& host) {
    const auto found = hosts.find(host);
    return found == hosts.end() || found->second.status == HostStatus::kDead;
  });
}

void RolloutManager::State::UpdateEjected() {
  ejected.clear();
  for (const auto& [id, tracker] : trackers) {
    if (!tracker->ejected()) continue;
    const PoolSpec& pool = tracker->pool();
    ejected.emplace(pool.name, pool.rollout->version);
  }
}

RolloutManager::RolloutManager(Options options)
    : state_(std::make_unique<State>(State{.options = std::move(options)})) {}

RolloutManager::~RolloutManager() = default;

void RolloutManager::SetConfig(const ConfigSnapshotPtr& snapshot) {
  if (!snapshot) return;
  std::map<RolloutId, const PoolSpec*> ordered;
  for (const PoolSpec& pool : snapshot->pools) {
    if (pool.rollout) ordered[RolloutKey::FromPool(pool).id()] = &pool;
  }
  state_->sampled = nullptr;
  std::erase_if(state_->trackers, [&ordered](const auto& entry) {
    return !ordered.contains(entry.first);
  });
  for (const auto& [id, pool] : ordered) {
    if (RolloutTracker* tracker = state_->Find(id)) {
      tracker->SetPool(*pool);
    } else {
      state_->Add(id, *pool);
    }
  }
  state_->configured = true;
  state_->UpdateEjected();
}

void RolloutManager::SetHosts(const std::map<HostId, HostRecord>& hosts) {
  state_->hosts = hosts;
  for (const auto& [id, tracker] : state_->trackers) state_->Update(*tracker);
}

void RolloutManager::OnRecord(const RolloutRecord& record) {
  if (RolloutTracker* tracker = state_->Find(record.id)) {
    tracker->OnRecord(record);
    return;
  }
  // The configuration that orders this rollout may arrive later.
  auto& unmatched = state_->unmatched_records;
  const auto [entry, added] = unmatched.try_emplace(record.id, record);
  if (!added) entry->second = RolloutRecord::Merge(entry->second, record);
  if (unmatched.size() > kMaxUnmatched) unmatched.erase(unmatched.begin());
}

void RolloutManager::OnSample(const RequestSample& sample, MonoTime /*now*/) {
  if (state_->sampled != sample.routing) {
    state_->sampled = sample.routing;
    state_->by_pool.clear();
    for (const PoolRouting& pool : sample.routing->pools) {
      state_->by_pool.push_back(
          pool.rollout.empty() ? nullptr : state_->Find(pool.rollout));
    }
  }
  RolloutTracker* tracker = state_->by_pool[sample.pool];
  if (tracker != nullptr) tracker->OnSample(sample);
}

void RolloutManager::OnEvidence(const EvidenceReport& report,
                                MonoTime /*now*/) {
  RolloutTracker* tracker = state_->Find(report.rollout);
  if (tracker != nullptr) tracker->OnEvidence(report);
}

void RolloutManager::Tick(MonoTime now, WallTime wall_now) {
  bool changed = false;
  for (const auto& [id, tracker] : state_->trackers) {
    changed = tracker->Tick(now, wall_now) || changed;
  }
  if (!changed) return;
  state_->UpdateEjected();
  if (state_->options.routing_changed) state_->options.routing_changed();
}

bool RolloutManager::Abort(const RolloutId& rollout, WallTime wall_now) {
  RolloutTracker* tracker = state_->Find(rollout);
  return tracker != nullptr && tracker->Abort(wall_now);
}

bool RolloutManager::Hurry(const RolloutId& rollout) {
  RolloutTracker* tracker = state_->Find(rollout);
  return tracker != nullptr && tracker->Hurry();
}

const std::set<std::pair<PoolName, TargetVersion>>&
RolloutManager::locally_ejected() const {
  return state_->ejected;
}

std::string RolloutManager::DumpJson() const {
  boost::json::array rollouts;
  for (const auto& [id, tracker] : state_->trackers) {
    rollouts.push_back(tracker->Dump());
  }
  return boost::json::serialize(rollouts);
}

}  // namespace camphor
