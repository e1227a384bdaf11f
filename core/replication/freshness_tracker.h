#ifndef CAMPHORHILL_CORE_REPLICATION_FRESHNESS_TRACKER_H_
#define CAMPHORHILL_CORE_REPLICATION_FRESHNESS_TRACKER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "core/base/backoff.h"
#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/config/config_head.h"
#include "core/replication/mesh_message.h"

namespace camphor {

/// Keeps the age of this host's knowledge of the configuration, decides when to
/// query another host or the platform's store for a newer proof, and answers
/// queries.
///
/// A proof states that every configuration acknowledged before its time has at
/// most its version. The age may be overstated, never understated: a proof from
/// the store counts from the start of the read, one from another host from the
/// time at which the query was sent, less the age that the reply states. Hosts
/// therefore need no common clock, and delayed messages only overstate the age.
///
/// All times are on the boot clock, which also counts the time in which this
/// host was suspended. Designed for 1,800 hosts, of which two per failure
/// domain read the store: a host sends about one query per second, and a
/// watcher answers up to 100 per second. Must be used from one thread.
class FreshnessTracker {
 public:
  /// Time as of which a configuration version is known to be the newest.
  /// Immutable value type.
  struct Proof {
    MonoTime at{};              ///< on this host's boot clock
    ConfigVersion version = 0;  ///< newest version acknowledged before `at`

    auto operator<=>(const Proof&) const = default;
  };

  /// Hosts to query. Immutable value type.
  struct Sources {
    std::vector<Endpoint> own_domain{};     ///< watchers of this host's domain
    std::vector<Endpoint> other_domains{};  ///< watchers of the other domains
  };

  /// What the tracker depends on. Immutable value type.
  struct Situation {
    ConfigVersion served = 0;  ///< version that the proxy has; 0 for none
    bool has_teams = false;    ///< the configuration contains teams
    bool watcher = false;      ///< this host watches the store itself

    auto operator<=>(const Situation&) const = default;
  };

  struct Options {
    Milliseconds bound{5000};       ///< age above which no key is accepted
    std::uint64_t incarnation = 1;  ///< of this process; seeds the jitter, and
                                    ///< replies to queries of an earlier
                                    ///< process are not mistaken for its own
    std::function<Sources()> sources{};  ///< returns the hosts to query
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};                          ///< sends a message over the mesh
    std::function<void()> read_store{};  ///< reads the store once; the result
                                         ///< arrives in OnStoreProof()
  };

  /// Counters for the state dump. Immutable value type.
  struct Counters {
    std::uint64_t queries = 0;      ///< queries sent
    std::uint64_t replies = 0;      ///< replies that belong to a query
    std::uint64_t unmatched = 0;    ///< replies to no query of this process
    std::uint64_t timeouts = 0;     ///< queries without a timely reply
    std::uint64_t answered = 0;     ///< queries of other hosts
    std::uint64_t store_reads = 0;  ///< reads of the store as a last resort
  };

  /// Longest duration of a watch of the store for which the ages that the
  /// watchers and the other hosts reach leave callers unaffected by a store
  /// that fails for 0.6 of the bound. @pre bound > 0.
  static Milliseconds WatchTimeout(Milliseconds bound);

  /// @pre options.bound > 0; all callbacks are set.
  explicit FreshnessTracker(Options options);

  /// Takes over the situation and sends the queries that are due. Call about
  /// ten times a second and after a change of the configuration. Does nothing
  /// while the configuration has no teams.
  void Tick(const Situation& situation, MonoTime now);

  /// Handles a successful read or watch of the store. `proof.at` is the time at
  /// which the call started.
  void OnStoreProof(const Proof& proof, MonoTime now);

  /// Answers the query of another host.
  void OnQuery(const Endpoint& from, const FreshnessQuery& query, MonoTime now);

  /// Handles the reply of another host.
  void OnReply(const Endpoint& from, const FreshnessReply& reply, MonoTime now);

  /// Newest proof that covers the served configuration; none after a start.
  const std::optional<Proof>& proof() const { return proof_; }

  /// Age of the knowledge of the served configuration; none after a start.
  std::optional<Milliseconds> Age(MonoTime now) const;

  const Counters& counters() const { return counters_; }

 private:
  // A query that was sent and not yet answered.
  struct Query {
    std::uint64_t sequence = 0;
    Endpoint to{};
    MonoTime sent{};
  };

  bool IsOlderThan(Milliseconds age, MonoTime now) const;
  void Add(const Proof& proof);
  void CountPending();
  std::optional<Proof> NewestProof() const;
  void Schedule(Milliseconds delay, MonoTime now);
  void SendQueries(MonoTime now);
  void Send(const Endpoint& to, MonoTime now);
  void OnSourceFailed(MonoTime now);
  bool IsOfOwnDomain(const Endpoint& source) const;
  std::deque<Endpoint> ChooseCandidates();
  void ReadStoreIfNeeded(MonoTime now);
  Milliseconds Draw(Milliseconds limit);
  Milliseconds UntilNextProof(MonoTime now) const;

  Options options_;
  std::mt19937_64 random_;
  Backoff store_backoff_;
  Situation situation_;
  std::optional<Proof> proof_;  ///< newest that covers the served version
  std::vector<Proof> pending_;  ///< for versions that are not yet served
  std::deque<Query> queries_;   ///< in the order in which they were sent
  std::uint64_t next_sequence_;
  std::optional<Endpoint> source_;    ///< host whose last reply was useful
  MonoTime source_chosen_{};          ///< since when it is queried
  std::deque<Endpoint> candidates_;   ///< hosts to query next while there is no
                                      ///< source_
  std::optional<MonoTime> deadline_;  ///< of the reply that is awaited
  MonoTime next_query_{};
  std::optional<MonoTime> store_read_at_;  ///< time of the next read as a last
                                           ///< resort
  MonoTime store_proof_arrived_{};
  Milliseconds store_proof_interval_{0};  ///< between the last two arrivals
  Counters counters_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_FRESHNESS_TRACKER_H_
