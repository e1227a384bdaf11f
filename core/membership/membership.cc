#include "core/membership/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphor {
namespace {

constexpr std::ptrdiff_t kMaxSeeds = 64;

// Neighbours that are probed when all of them are silent, and how often.
constexpr std::size_t kIsolationProbes = 2;
constexpr Milliseconds kIsolationProbePeriod{250};

}  // namespace

Membership::Membership(Options options, const RecordStore& store,
                       const ReplicatorSettings& settings)
    : options_(std::move(options)),
      store_(store),
      settings_(settings),
      detector_({.self = options_.self,
                 .get_watchers =
                     [this](const HostId& host) {
                       return overlay_.GetNeighbours(host);
                     },
                 .report =
                     [this](const HostId& to, const SuspicionReport& report) {
                       SendToHost(to, report);
                     },
                 .probe =
                     [this](const HostId& host) {
                       SendToHost(host, options_.heartbeat(true));
                     },
                 .confirmed =
                     [this](const HostId& host, std::uint64_t incarnation,
                            std::uint64_t sequence) {
                       OnConfirmed(host, incarnation, sequence);
                     }},
                settings),
      random_(options_.random_seed),
      join_backoff_({.initial_delay = settings.join_first_delay,
                     .max_delay = settings.join_longest_delay}) {
  std::erase(options_.seeds, options_.mesh);
}

void Membership::OnMessageReceived(const Endpoint& from, MonoTime now) {
  last_received_ = now;
  const HostRecord* record = store_.FindHost(from);
  if (record == nullptr) return;
  detector_.OnMessageReceived(record->host, now);
  const auto found = neighbours_.find(record->host);
  if (found != neighbours_.end()) found->second.last_received = now;
}

void Membership::OnHeartbeat(const Endpoint& from, const Heartbeat& heartbeat) {
  // Also reply to a host that is not a neighbour: it may have another view of
  // the overlay and watch this host.
  if (heartbeat.reply_wanted) options_.send(from, options_.heartbeat(false));
}

void Membership::OnSuspicionReport(const Endpoint& from,
                                   const SuspicionReport& report,
                                   MonoTime now) {
  const HostRecord* reporter = store_.FindHost(from);
  if (reporter != nullptr)
    detector_.OnSuspicionReport(reporter->host, report, now);
}

void Membership::OnBusy(const SyncBusy& busy, MonoTime now) {
  if (!neighbours_.empty()) return;
  join_candidates_ = busy.alternatives;
  next_contact_ = now + Jittered(Milliseconds(busy.retry_after_ms));
}

void Membership::OnPeerState(const Endpoint& peer, bool connected,
                             MonoTime now) {
  const HostRecord* record = store_.FindHost(peer);
  if (record != nullptr && !connected)
    detector_.OnConnectionFailed(record->host, now);
}

void Membership::Tick(MonoTime now) {
  if (overlay_stale_) RebuildOverlay(now);
  SendHeartbeats(now);
  DetectIsolation(now);
  detector_.Tick(now);
  ExpireSuspects(now);
  if (now >= next_contact_) ContactMesh(now);
}

std::vector<Endpoint> Membership::neighbours() const {
  std::vector<Endpoint> endpoints;
  endpoints.reserve(neighbours_.size());
  for (const auto& [host, neighbour] : neighbours_)
    endpoints.push_back(neighbour.endpoint);
  return endpoints;
}

bool Membership::IsNeighbour(const Endpoint& peer) const {
  return std::ranges::any_of(neighbours_, [&](const auto& entry) {
    return entry.second.endpoint == peer;
  });
}

std::vector<Endpoint> Membership::SampleHosts(std::size_t count) {
  std::vector<Endpoint> all;
  for (const auto& [host, record] : store_.hosts()) {
    if (record.status == HostStatus::kAlive && host != options_.self)
      all.push_back(record.mesh);
  }
  std::vector<Endpoint> chosen;
  std::ranges::sample(all, std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(count), random_);
  return chosen;
}

void Membership::AddSeeds(const std::vector<Endpoint>& seeds, MonoTime now) {
  for (const Endpoint& seed : seeds) {
    if (seed == options_.mesh) continue;
    std::erase(options_.seeds, seed);
    options_.seeds.push_back(seed);
  }
  if (std::ssize(options_.seeds) > kMaxSeeds) {
    options_.seeds.erase(options_.seeds.begin(),
                         options_.seeds.end() - kMaxSeeds);
  }
  next_contact_ = now;
}

bool Membership::is_poller() const {
  const HostRecord* self = store_.FindHost(options_.self);
  if (self == nullptr) return true;
  const std::vector<HostId> pollers = overlay_.GetPollers(self->domain);
  return std::ranges::find(pollers, options_.self) != pollers.end();
}

std::vector<Endpoint> Membership::PollersOfOwnDomain() const {
  std::vector<Endpoint> endpoints;
  const HostRecord* self = store_.FindHost(options_.self);
  if (self != nullptr) AppendPollers(self->domain, endpoints);
  return endpoints;
}

std::vector<Endpoint> Membership::PollersOfOtherDomains() const {
  std::vector<Endpoint> endpoints;
  const HostRecord* self = store_.FindHost(options_.self);
  for (const FailureDomain& domain : overlay_.GetDomains())
    if (self == nullptr || domain != self->domain)
      AppendPollers(domain, endpoints);
  return endpoints;
}

void Membership::AppendPollers(const FailureDomain& domain,
                               std::vector<Endpoint>& endpoints) const {
  for (const HostId& host : overlay_.GetPollers(domain)) {
    const HostRecord* record = store_.FindHost(host);
    if (record != nullptr && host != options_.self)
      endpoints.push_back(record->mesh);
  }
}

void Membership::RebuildOverlay(MonoTime now) {
  overlay_stale_ = false;
  overlay_ = Overlay(store_.hosts(), settings_);
  std::map<HostId, Neighbour> neighbours;
  std::map<HostId, FailureDetector::HostVersion> versions;
  for (const HostId& host : overlay_.GetNeighbours(options_.self)) {
    const HostRecord& record = store_.hosts().at(host);
    versions.emplace(
        host, FailureDetector::HostVersion{.incarnation = record.incarnation,
                                           .sequence = record.sequence});
    const auto known = neighbours_.find(host);
    const bool kept =
        known != neighbours_.end() && known->second.endpoint == record.mesh;
    neighbours.emplace(
        host, kept ? known->second
                   : Neighbour{.endpoint = record.mesh, .next_heartbeat = now});
  }
  neighbours_ = std::move(neighbours);
  detector_.SetWatchedHosts(versions, now);

  // Suspects are tracked by all of their watchers, including the one that
  // confirmed the suspicion.
  for (const auto& [host, record] : store_.hosts()) {
    if (record.status == HostStatus::kSuspect && versions.contains(host))
      suspects_.try_emplace(host, Suspect{.incarnation = record.incarnation,
                                          .sequence = record.sequence,
                                          .since = now});
  }
}

void Membership::SendHeartbeats(MonoTime now) {
  for (auto& [host, neighbour] : neighbours_) {
    if (now < neighbour.next_heartbeat) continue;
    const bool silent =
        2 * (now - neighbour.last_received) > 3 * settings_.heartbeat_period;
    options_.send(neighbour.endpoint, options_.heartbeat(silent));
    neighbour.next_heartbeat = now + Jittered(settings_.heartbeat_period);
  }
}

void Membership::DetectIsolation(MonoTime now) {
  if (neighbours_.empty()) {
    last_received_ = now;
    return;
  }
  const auto silence = now - last_received_;
  if (silence >= settings_.isolated_after)
    isolated_until_ = now + settings_.isolated_hold;
  if (silence < settings_.probe_silent_mesh_after ||
      now < next_isolation_probe_) {
    return;
  }
  next_isolation_probe_ = now + kIsolationProbePeriod;
  std::vector<Endpoint> probed;
  std::ranges::sample(neighbours(), std::back_inserter(probed),
                      kIsolationProbes, random_);
  for (const Endpoint& neighbour : probed)
    options_.send(neighbour, options_.heartbeat(true));
}

void Membership::OnConfirmed(const HostId& host, std::uint64_t incarnation,
                             std::uint64_t sequence) {
  const HostRecord* record = store_.FindHost(host);
  const bool current = record != nullptr &&
                       record->incarnation == incarnation &&
                       record->sequence == sequence;
  if (!current || record->status == HostStatus::kDead) return;
  HostRecord marked = *record;
  if (record->status == HostStatus::kLeaving) {
    // The host announced that it is leaving, so there is no refutation to wait
    // for.
    marked.status = HostStatus::kDead;
    marked.targets.clear();
  } else {
    marked.status = HostStatus::kSuspect;
  }
  options_.publish(marked);
}

void Membership::ExpireSuspects(MonoTime now) {
  std::vector<HostRecord> dead;
  std::erase_if(suspects_, [&](const auto& entry) {
    const auto& [host, suspect] = entry;
    const HostRecord* record = store_.FindHost(host);
    const bool suspected = record != nullptr &&
                           record->status == HostStatus::kSuspect &&
                           record->incarnation == suspect.incarnation &&
                           record->sequence == suspect.sequence;
    if (!suspected) return true;
    if (now - suspect.since < settings_.refute_within) return false;
    dead.push_back(*record);
    return true;
  });
  for (HostRecord& record : dead) {
    record.status = HostStatus::kDead;
    record.targets.clear();
    options_.publish(record);
  }
}

void Membership::ContactMesh(MonoTime now) {
  if (neighbours_.empty()) {
    TryJoin(now);
    return;
  }
  // A seed without a host record may be in another part of the mesh that formed
  // independently.
  const std::vector<Endpoint> unknown = UnknownSeeds();
  if (!unknown.empty()) {
    next_contact_ = now + join_backoff_.Next(random_);
    options_.join(ChooseRandom(unknown));
    return;
  }
  // After a network partition, contacting a seed or a host marked dead
  // reconnects the two parts of the mesh.
  join_backoff_.Reset();
  next_contact_ = now + Jittered(settings_.rejoin_period);
  const std::optional<Endpoint> candidate = ChooseRejoinCandidate();
  if (candidate) options_.send(*candidate, options_.heartbeat(true));
}

void Membership::TryJoin(MonoTime now) {
  next_contact_ = now + join_backoff_.Next(random_);
  std::vector<Endpoint> candidates = options_.seeds;
  candidates.insert(candidates.end(), join_candidates_.begin(),
                    join_candidates_.end());
  std::erase(candidates, options_.mesh);
  if (!candidates.empty()) options_.join(ChooseRandom(candidates));
}

std::vector<Endpoint> Membership::UnknownSeeds() const {
  std::vector<Endpoint> unknown;
  std::ranges::copy_if(options_.seeds, std::back_inserter(unknown),
                       [this](const Endpoint& seed) {
                         return store_.FindHost(seed) == nullptr;
                       });
  return unknown;
}

const Endpoint& Membership::ChooseRandom(
    const std::vector<Endpoint>& candidates) {
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  return candidates[draw(random_)];
}

std::optional<Endpoint> Membership::ChooseRejoinCandidate() {
  std::vector<Endpoint> candidates = options_.seeds;
  for (const auto& [host, record] : store_.hosts()) {
    if (record.status == HostStatus::kDead && host != options_.self)
      candidates.push_back(record.mesh);
  }
  if (candidates.empty()) return std::nullopt;
  return ChooseRandom(candidates);
}

void Membership::SendToHost(const HostId& host, const MeshMessage& message) {
  const HostRecord* record = store_.FindHost(host);
  if (record != nullptr) options_.send(record->mesh, message);
}

Milliseconds Membership::Jittered(Milliseconds period) {
  std::uniform_int_distribution<std::int64_t> draw(period.count() * 3 / 4,
                                                   period.count() * 5 / 4);
  return Milliseconds(draw(random_));
}

}  // namespace camphor
