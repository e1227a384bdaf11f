#include "core/replication/freshness_tracker.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <limits>
#include <utility>

namespace camphor {
namespace {

// A host has to be served for 0.6 of the bound after its last path to the store
// failed, so its age must stay below 0.4 of the bound less the margin of
// FreshnessGate. The age of a watcher's proof reaches twice the watch timeout,
// because a watch proves freshness as of its start; a tick, the transit and the
// jitter of the queries come on top. A fifth of the bound would exceed that.
constexpr int kWatchesPerBound = 8;
constexpr Milliseconds kMaxWatchTimeout{1500};

constexpr Milliseconds kQueryPeriod{1000};
constexpr Milliseconds kMinQueryDelay{200};

// A query sent this long after the source's next proof is expected finds the
// proof there in spite of small delays of the store.
constexpr Milliseconds kProofSlack{50};
constexpr Milliseconds kMaxJitter{100};

// Covers the round trip between distant regions and a busy decisions thread.
constexpr Milliseconds kReplyTimeout{400};

// Time after which a host that queries another domain tries its own again.
constexpr Seconds kOwnDomainRetry{10};

// A late reply still counts, from the time at which its own query was sent.
constexpr std::size_t kMaxOutstanding = 16;
constexpr std::size_t kMaxPending = 8;

// Shares of the bound. The age that a working watcher states stays below
// kHealthy. Above kWorried several sources are queried at once.
constexpr double kHealthy = 0.3;
constexpr double kWorried = 0.4;
constexpr double kWatcherQueries = 0.35;
constexpr double kStoreRead = 0.6;
constexpr double kStoreReadSpread = 0.2;
constexpr std::size_t kWorriedQueries = 3;

// Watchers of other domains that one search queries. They are drawn anew for
// each search, so that all are reached in time.
constexpr std::size_t kMaxOtherDomains = 4;

// At 1,800 hosts and the longest delay, an outage of the whole store costs it
// about 300 failing calls per second.
constexpr Backoff::Options kStoreBackoff = {.initial_delay = Milliseconds(250),
                                            .max_delay = Milliseconds(8000)};

constexpr std::uint32_t kMaxAgeMs = std::numeric_limits<std::uint32_t>::max();

Milliseconds Share(Milliseconds bound, double share) {
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(bound.count()) * share));
}

// Rounds up, so that the age is never understated.
std::uint32_t CeilMs(MonoTime::duration age) {
  const std::int64_t ms = std::chrono::ceil<Milliseconds>(age).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kMaxAgeMs));
}

}  // namespace

Milliseconds FreshnessTracker::WatchTimeout(Milliseconds bound) {
  return std::clamp(bound / kWatchesPerBound, Milliseconds(1),
                    kMaxWatchTimeout);
}

FreshnessTracker::FreshnessTracker(Options options)
    : options_(std::move(options)),
      random_(options_.incarnation),
      store_backoff_(kStoreBackoff),
      next_sequence_(options_.incarnation) {
  assert(options_.bound.count() > 0 && options_.sources && options_.send &&
         options_.read_store);
}

std::optional<Milliseconds> FreshnessTracker::Age(MonoTime now) const {
  if (!proof_) return std::nullopt;
  return std::chrono::ceil<Milliseconds>(now - proof_->at);
}

bool FreshnessTracker::IsOlderThan(Milliseconds age, MonoTime now) const {
  return !proof_ || now - proof_->at > age;
}

void FreshnessTracker::Tick(const Situation& situation, MonoTime now) {
  situation_ = situation;
  CountPending();
  if (!situation_.has_teams) return;
  if (deadline_ && now >= *deadline_) {
    ++counters_.timeouts;
    deadline_.reset();
    OnSourceFailed(now);
  }
  const bool needed = !situation_.watcher ||
                      IsOlderThan(Share(options_.bound, kWatcherQueries), now);
  if (needed && !deadline_ && now >= next_query_) SendQueries(now);
  ReadStoreIfNeeded(now);
}

void FreshnessTracker::OnStoreProof(const Proof& proof, MonoTime now) {
  store_proof_interval_ = std::chrono::duration_cast<Milliseconds>(
      now - std::exchange(store_proof_arrived_, now));
  Add(proof);
}

void FreshnessTracker::OnQuery(const Endpoint& from,
                               const FreshnessQuery& query, MonoTime now) {
  ++counters_.answered;
  FreshnessReply reply{.sequence = query.sequence};
  if (const std::optional<Proof> newest = NewestProof()) {
    reply.known = true;
    reply.age_ms = CeilMs(now - newest->at);
    reply.version = newest->version;
    reply.next_ms = CeilMs(UntilNextProof(now));
  }
  options_.send(from, reply);
}

void FreshnessTracker::OnReply(const Endpoint& from,
                               const FreshnessReply& reply, MonoTime now) {
  const auto query = std::ranges::find_if(queries_, [&](const Query& sent) {
    return sent.sequence == reply.sequence && sent.to == from;
  });
  if (query == queries_.end()) {
    ++counters_.unmatched;
    return;
  }
  ++counters_.replies;
  const MonoTime sent = query->sent;
  queries_.erase(query);
  deadline_.reset();
  if (reply.known) {
    Add({.at = sent - Milliseconds(reply.age_ms), .version = reply.version});
  }

  // A source that has lost the store itself is of no use, although it replies.
  const std::optional<Proof> newest = NewestProof();
  const MonoTime::duration healthy = Share(options_.bound, kHealthy);
  if (!newest || now - newest->at > healthy) return OnSourceFailed(now);
  if (source_ != from) source_chosen_ = now;
  source_ = from;
  candidates_.clear();
  // Another source has to be tried in time if the next proof fails to come.
  const Milliseconds next(reply.next_ms);
  const auto until_old =
      std::chrono::duration_cast<Milliseconds>(healthy - (now - newest->at));
  Schedule(
      std::min(next.count() > 0 ? next : kQueryPeriod, until_old) + kProofSlack,
      now);
}

void FreshnessTracker::OnSourceFailed(MonoTime now) {
  const bool search_ended = !source_ && candidates_.empty();
  source_.reset();
  // A search through all candidates without success is repeated at the usual
  // period only, so that an outage of the store does not flood the mesh.
  next_query_ =
      now + (search_ended ? kQueryPeriod : Milliseconds(0)) + Draw(kMaxJitter);
}

void FreshnessTracker::Add(const Proof& proof) {
  if (proof_ && proof.at <= proof_->at) return;
  // A proof for an older version that is at least as recent makes one for a
  // newer version superfluous.
  std::erase_if(pending_, [&proof](const Proof& known) {
    return proof.version <= known.version && proof.at >= known.at;
  });
  pending_.push_back(proof);
  CountPending();
  if (pending_.size() > kMaxPending) pending_.pop_back();
}

void FreshnessTracker::CountPending() {
  for (const Proof& proof : pending_) {
    const bool covers = proof.version <= situation_.served;
    if (covers && (!proof_ || proof.at > proof_->at)) proof_ = proof;
  }
  std::erase_if(pending_, [this](const Proof& proof) {
    return proof_ && proof.at <= proof_->at;
  });
}

std::optional<FreshnessTracker::Proof> FreshnessTracker::NewestProof() const {
  std::optional<Proof> newest = proof_;
  for (const Proof& proof : pending_)
    if (!newest || proof.at > newest->at) newest = proof;
  return newest;
}

Milliseconds FreshnessTracker::UntilNextProof(MonoTime now) const {
  if (!situation_.watcher || store_proof_interval_ > kQueryPeriod)
    return Milliseconds(0);
  const auto left = store_proof_arrived_ + store_proof_interval_ - now;
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(left));
}

void FreshnessTracker::Schedule(Milliseconds delay, MonoTime now) {
  next_query_ =
      now + std::clamp(delay, kMinQueryDelay, kQueryPeriod) + Draw(kMaxJitter);
}

void FreshnessTracker::SendQueries(MonoTime now) {
  const bool away = source_ && now - source_chosen_ >= kOwnDomainRetry &&
                    !IsOfOwnDomain(*source_);
  if (away) {
    source_.reset();
    candidates_.clear();
  }
  if (source_) return Send(*source_, now);
  if (candidates_.empty()) candidates_ = ChooseCandidates();
  if (candidates_.empty()) return Schedule(kQueryPeriod, now);
  const bool worried = counters_.timeouts + counters_.replies > 0 &&
                       IsOlderThan(Share(options_.bound, kWorried), now);
  std::size_t count = worried ? kWorriedQueries : 1;
  for (; count > 0 && !candidates_.empty(); --count) {
    Send(candidates_.front(), now);
    candidates_.pop_front();
  }
}

void FreshnessTracker::Send(const Endpoint& to, MonoTime now) {
  queries_.push_back({.sequence = next_sequence_, .to = to, .sent = now});
  if (queries_.size() > kMaxOutstanding) queries_.pop_front();
  ++counters_.queries;
  deadline_ = now + kReplyTimeout;
  options_.send(to, FreshnessQuery{.sequence = next_sequence_++});
}

bool FreshnessTracker::IsOfOwnDomain(const Endpoint& source) const {
  const std::vector<Endpoint> own = options_.sources().own_domain;
  return std::ranges::find(own, source) != own.end();
}

std::deque<Endpoint> FreshnessTracker::ChooseCandidates() {
  Sources sources = options_.sources();
  std::ranges::shuffle(sources.own_domain, random_);
  std::ranges::shuffle(sources.other_domains, random_);
  if (sources.other_domains.size() > kMaxOtherDomains)
    sources.other_domains.resize(kMaxOtherDomains);
  std::deque<Endpoint> candidates(sources.own_domain.begin(),
                                  sources.own_domain.end());
  candidates.insert(candidates.end(), sources.other_domains.begin(),
                    sources.other_domains.end());
  return candidates;
}

void FreshnessTracker::ReadStoreIfNeeded(MonoTime now) {
  if (situation_.watcher ||
      !IsOlderThan(Share(options_.bound, kStoreRead), now)) {
    store_read_at_.reset();
    store_backoff_.Reset();
    return;
  }
  if (!store_read_at_)
    store_read_at_ = now + Draw(Share(options_.bound, kStoreReadSpread));
  if (now < *store_read_at_) return;
  store_read_at_ = now + store_backoff_.Next(random_);
  ++counters_.store_reads;
  options_.read_store();
}

Milliseconds FreshnessTracker::Draw(Milliseconds limit) {
  std::uniform_int_distribution<std::int64_t> draw(0, limit.count());
  return Milliseconds(draw(random_));
}

}  // namespace camphor
