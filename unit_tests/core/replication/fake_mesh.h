#ifndef CAMPHORHILL_UNIT_TESTS_CORE_REPLICATION_FAKE_MESH_H_
#define CAMPHORHILL_UNIT_TESTS_CORE_REPLICATION_FAKE_MESH_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/replication/replicator.h"

namespace camphor {

/// Deterministic simulation of several Replicators, connected by a network that
/// delays, drops and duplicates messages, and of a platform that can be
/// unavailable. Time is simulated.
class FakeMesh {
 public:
  struct Options {
    int hosts = 6;           ///< number of hosts, named h0, h1, ...
    int domains = 3;         ///< host i is in failure domain i % domains
    std::uint64_t seed = 1;  ///< seed of all random choices
    double loss = 0;         ///< probability that a message is lost
    double repeat = 0;       ///< probability that a message is duplicated
    Milliseconds shortest_delay{1};  ///< lower bound of the message delay
    Milliseconds longest_delay{20};  ///< upper bound of the message delay
    ReplicatorSettings settings{};   ///< settings of every host
  };

  explicit FakeMesh(Options options);

  /// Starts or restarts a host with empty memory.
  void Start(int host);
  /// Terminates a host without notice to the others.
  void Kill(int host);
  /// Suspends a host; messages to it are deferred until Thaw.
  void Freeze(int host) { hosts_[host].frozen = true; }
  void Thaw(int host) { hosts_[host].frozen = false; }
  /// Drops every message for which the predicate (from, to) returns true.
  void Partition(std::function<bool(int, int)> drop) {
    partition_ = std::move(drop);
  }
  void Heal() { partition_ = nullptr; }

  /// Creates a new configuration version on the platform and, if `via_host` is
  /// not negative, announces it to that host.
  ConfigHead Accept(int via_host);
  void SetPlatformOut(bool out) { platform_out_ = out; }

  void Run(Milliseconds time);
  /// Runs until the condition holds. Returns false on time-out.
  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit);

  Replicator& at(int host) { return *hosts_[host].replicator; }
  bool alive(int host) const { return hosts_[host].replicator != nullptr; }
  ConfigVersion served(int host) const;
  /// True if all live hosts are ready and serve the newest configuration.
  bool AllServeNewest() const;
  /// True if all live hosts record the given status for the host `subject`.
  bool AllObserve(int subject, HostStatus status) const;
  /// True if all live hosts hold equal host records.
  bool AllAgree() const;
  /// State dump of every live host that does not serve the newest
  /// configuration.
  std::string DescribeStaleHosts() const;
  /// Number of times that a host served an older version than before, including
  /// across its restarts.
  int reversions() const { return reversions_; }
  MonoTime now() const { return now_; }
  std::uint64_t messages() const { return messages_; }
  Endpoint GetEndpoint(int host) const;
  /// Delivers a message to a host as if it came from the other host.
  void Inject(int from, int to, const MeshMessage& message);

 private:
  struct Host {
    std::unique_ptr<Replicator> replicator;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    ConfigVersion highest_served = 0;
    MonoTime last_poll{};                           // zero: never
    std::vector<std::function<void()>> deferred{};  // run after Thaw
  };
  struct Event {
    MonoTime time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  void Send(int from, const Endpoint& to, const MeshMessage& message);
  void Deliver(int from, int to, const MeshMessage& message);
  void Schedule(MonoTime time, std::function<void()> run);
  void RunOnHost(int host, std::function<void()> run);
  void Poll(int host);
  void FetchSnapshot(int host, const ConfigHead& head);
  void TickAll();
  bool Chance(double probability);
  Milliseconds Delay();

  Options options_;
  std::mt19937_64 random_;
  MonoTime now_{std::chrono::hours(1)};
  MonoTime next_tick_{now_};
  std::uint64_t order_ = 0;
  std::uint64_t messages_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Host> hosts_;
  std::map<ConfigVersion, ConfigSnapshot> accepted_;
  bool platform_out_ = false;
  std::function<bool(int, int)> partition_;
  int reversions_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_CORE_REPLICATION_FAKE_MESH_H_
