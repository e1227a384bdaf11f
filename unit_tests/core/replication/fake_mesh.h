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

/// Replicators joined by a seeded network that delays, drops and repeats
/// messages, and by a platform that can be out. Time is counted, not waited
/// for.
class FakeMesh {
 public:
  struct Options {
    int hosts = 6;                   ///< named h0, h1, ...
    int domains = 3;                 ///< host i stands in domain i % domains
    std::uint64_t seed = 1;          ///< of everything
    double loss = 0;                 ///< chance that a message is lost
    double repeat = 0;               ///< chance that it comes twice
    Milliseconds shortest_delay{1};  ///< of a message
    Milliseconds longest_delay{20};  ///< of a message
    ReplicatorSettings settings{};   ///< of every host
  };

  explicit FakeMesh(Options options);

  /// Starts a host with empty memory, or one again.
  void Start(int host);
  /// Ends a host without a word.
  void Kill(int host);
  /// Stops a host's time; messages to it wait.
  void Freeze(int host) { hosts_[host].frozen = true; }
  void Thaw(int host) { hosts_[host].frozen = false; }
  /// Loses every message for which the predicate (from, to) holds.
  void Cut(std::function<bool(int, int)> cut) { cut_ = std::move(cut); }
  void Heal() { cut_ = nullptr; }

  /// Accepts a new configuration at the platform; the given host made it known,
  /// unless it is negative.
  ConfigHead Accept(int through);
  void SetPlatformOut(bool out) { platform_out_ = out; }

  void Run(Milliseconds time);
  /// Runs until the condition holds. Returns false if it does not in time.
  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit);

  Replicator& at(int host) { return *hosts_[host].replicator; }
  bool alive(int host) const { return hosts_[host].replicator != nullptr; }
  ConfigVersion served(int host) const;
  /// True when every live host serves the newest configuration.
  bool AllServeNewest() const;
  /// True when every live host sees the subject in the status.
  bool AllSee(int subject, HostStatus status) const;
  /// True when all live hosts hold equal host records.
  bool AllAgree() const;
  /// State of every host that does not serve the newest configuration.
  std::string DescribeBehind() const;
  /// Times that a host served an older version than before, over all lives.
  int reversions() const { return reversions_; }
  MonoTime now() const { return now_; }
  std::uint64_t messages() const { return messages_; }
  Endpoint EndpointOf(int host) const;
  /// Hands a message to a host as if the other had sent it.
  void Inject(int from, int to, const MeshMessage& message);

 private:
  struct Host {
    std::unique_ptr<Replicator> replicator;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    ConfigVersion highest_served = 0;
    MonoTime next_poll{};
    std::vector<std::function<void()>> held{};  // while it is frozen
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
  void At(MonoTime time, std::function<void()> run);
  void ForHost(int host, std::function<void()> run);
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
  std::function<bool(int, int)> cut_;
  int reversions_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_CORE_REPLICATION_FAKE_MESH_H_
