#include "core/replication/config_sync.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/config/config_codec.h"
#include "core/config/config_delta.h"

namespace camphor {
namespace {

constexpr double kFullSnapshotsPerSecond = 20;
constexpr double kFullSnapshotBurst = 40;
constexpr std::size_t kMaxFetchPeers = 8;

}  // namespace

ConfigSync::ConfigSync(Options options, const ReplicatorSettings& settings)
    : options_(std::move(options)),
      settings_(settings),
      full_snapshot_limiter_({.per_second = kFullSnapshotsPerSecond,
                              .burst = kFullSnapshotBurst}) {}

ConfigHead ConfigSync::head() const {
  return snapshot_ ? snapshot_->head : ConfigHead{};
}

void ConfigSync::OnPeerHead(const Endpoint& from, const ConfigHead& head,
                            MonoTime now) {
  if (head.version <= this->head().version) return;
  if (fetch_ && head.version < fetch_->head.version) return;
  EnsureFetch(head, now);
  const auto known = std::ranges::find(fetch_->peers, from);
  if (known == fetch_->peers.end() && fetch_->peers.size() < kMaxFetchPeers)
    fetch_->peers.push_back(from);
  if (fetch_->attempts == 0) SendNextRequest(now);
}

void ConfigSync::OnRequest(const Endpoint& from, const SnapshotRequest& request,
                           MonoTime now) {
  // A snapshot newer than the requested one is sent too; it saves the peer
  // another request.
  if (!snapshot_ || snapshot_->head.version < request.head.version) return;
  const ConfigSnapshotPtr base = FindRecent(request.base);
  if (base) {
    options_.send(
        from, SnapshotReply{
                  .head = snapshot_->head,
                  .base = base->head,
                  .bytes = ConfigDelta::Between(*base, *snapshot_).Encode()});
    return;
  }
  // Full snapshots are large, so their rate is limited. A peer that gets no
  // reply asks another host.
  if (!full_snapshot_limiter_.Take(1, now)) return;
  options_.send(from, SnapshotReply{.head = snapshot_->head,
                                    .bytes = ConfigCodec::Encode(*snapshot_)});
}

void ConfigSync::OnReply(const Endpoint& from, const SnapshotReply& reply,
                         MonoTime now) {
  if (reply.head.version <= head().version) {
    ++counters_.stale;
    return;
  }
  bool base_missing = false;
  const std::optional<ConfigSnapshot> snapshot =
      DecodeReply(reply, base_missing);
  if (snapshot) {
    ++(reply.base.version > 0 ? counters_.deltas_applied
                              : counters_.full_snapshots_applied);
    Install(*snapshot, from);
    return;
  }
  if (base_missing) {
    OnPeerHead(from, reply.head, now);
    return;
  }
  // The reply is damaged; the next timeout sends the request to another peer.
  ++counters_.refused;
}

void ConfigSync::OnPlatformHead(const ConfigHead& head, MonoTime now) {
  if (head.version <= this->head().version) return;
  if (fetch_ && head.version < fetch_->head.version) return;
  EnsureFetch(head, now);
  if (fetch_->from_platform) return;
  fetch_->from_platform = true;
  fetch_->last_request = now;
  ++fetch_->attempts;
  ++counters_.platform_fetches;
  options_.fetch_from_platform(fetch_->head);
}

void ConfigSync::OnPlatformSnapshot(const ConfigSnapshot& snapshot) {
  if (snapshot.head.version <= head().version) return;
  ++counters_.full_snapshots_applied;
  Install(snapshot, std::nullopt);
}

void ConfigSync::Tick(MonoTime now) {
  if (fetch_ && now - fetch_->last_request >= settings_.fetch_timeout)
    SendNextRequest(now);
}

MeshMessage ConfigSync::MakePush() const {
  if (!push_delta_.empty()) {
    return SnapshotReply{
        .head = snapshot_->head, .base = push_base_, .bytes = push_delta_};
  }
  return RecordsMessage{.head = snapshot_->head};
}

void ConfigSync::EnsureFetch(const ConfigHead& head, MonoTime now) {
  if (fetch_ && fetch_->head == head) return;
  fetch_ = Fetch{.head = head, .last_request = now};
}

void ConfigSync::SendNextRequest(MonoTime now) {
  fetch_->last_request = now;
  ++fetch_->attempts;
  // Round-robin over the peers; the platform once the attempts are used up.
  if (fetch_->attempts > settings_.fetch_attempts || fetch_->peers.empty()) {
    ++counters_.platform_fetches;
    options_.fetch_from_platform(fetch_->head);
    fetch_->attempts = 0;
    return;
  }
  const Endpoint peer = fetch_->peers.front();
  fetch_->peers.pop_front();
  fetch_->peers.push_back(peer);
  options_.send(peer, SnapshotRequest{.head = fetch_->head, .base = head()});
}

void ConfigSync::Install(const ConfigSnapshot& snapshot,
                         const std::optional<Endpoint>& from) {
  // A small delta is pushed without a request, which saves a round trip on each
  // hop.
  push_delta_.clear();
  if (snapshot_) {
    push_base_ = snapshot_->head;
    push_delta_ = ConfigDelta::Between(*snapshot_, snapshot).Encode();
    if (push_delta_.size() > settings_.largest_pushed_delta)
      push_delta_.clear();
  }
  snapshot_ = std::make_shared<const ConfigSnapshot>(snapshot);
  recent_snapshots_.push_back(snapshot_);
  if (recent_snapshots_.size() > settings_.snapshots_kept)
    recent_snapshots_.pop_front();
  if (fetch_ && fetch_->head.version <= snapshot_->head.version) fetch_.reset();
  options_.snapshot_changed(from);
}

ConfigSnapshotPtr ConfigSync::FindRecent(const ConfigHead& head) const {
  if (head.version == 0) return nullptr;
  const auto found = std::ranges::find_if(
      recent_snapshots_,
      [&](const ConfigSnapshotPtr& kept) { return kept->head == head; });
  return found == recent_snapshots_.end() ? nullptr : *found;
}

std::optional<ConfigSnapshot> ConfigSync::DecodeReply(
    const SnapshotReply& reply, bool& base_missing) const {
  if (reply.base.version == 0) {
    ConfigCodec codec;
    return codec.DecodeVerified(reply.bytes, reply.head);
  }
  const ConfigSnapshotPtr base = FindRecent(reply.base);
  base_missing = base == nullptr;
  if (!base) return std::nullopt;
  ConfigError reason;
  const std::optional<ConfigDelta> delta =
      ConfigDelta::Decode(reply.bytes, reply.base, reply.head, reason);
  if (!delta) return std::nullopt;
  return delta->Apply(*base, reason);
}

}  // namespace camphor
