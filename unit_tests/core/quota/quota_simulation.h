#ifndef CAMPHORHILL_UNIT_TESTS_CORE_QUOTA_QUOTA_SIMULATION_H_
#define CAMPHORHILL_UNIT_TESTS_CORE_QUOTA_QUOTA_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/quota/quota_manager.h"

namespace camphor {

/// Hosts with a limiter and a manager each, a network with delays and
/// partitions, and a membership that notices lost hosts as late as the real one
/// may: suspected after 6.5 s, dead after 11.5 s. One team. Not thread-safe.
class QuotaSimulation {
 public:
  struct Options {
    std::size_t hosts = 58;
    TeamQuota quota{.rate = 489, .burst = 489};
    std::uint64_t seed = 1;
    Milliseconds longest_delay{50};  ///< of a message
    Seconds idle_before{11};  ///< up without use; the default lets allocators
                              ///< know that the team is not in use
  };

  static constexpr Milliseconds kStep{10};

  explicit QuotaSimulation(Options options)
      : options_(options), random_(options.seed), hosts_(options.hosts) {
    for (std::size_t index = 0; index < hosts_.size(); ++index)
      StartHost(index);
    UpdateMembership();
    Run(options_.idle_before, [](double) { return 0.0; });
  }

  /// Host that is the allocator in the view of the first host.
  std::size_t allocator() const {
    return IndexOf(hosts_[0].manager->AllocatorOf(HashTeam(team_)));
  }

  /// Puts hosts into groups that cannot reach each other.
  void Partition(const std::function<int(std::size_t)>& group) {
    for (std::size_t index = 0; index < hosts_.size(); ++index)
      hosts_[index].group = group(index);
    NoteReachability();
  }

  /// Ends a host's process without a notice. Its demand moves to the others.
  void Kill(std::size_t index) {
    hosts_[index].up = false;
    NoteReachability();
  }

  /// Starts the process of a host again, without any state.
  void Restart(std::size_t index) {
    StartHost(index);
    NoteReachability();
    UpdateMembership();
  }

  /// Replaces the quota on all hosts.
  void SetQuota(TeamQuota quota) {
    options_.quota = quota;
    for (Host& host : hosts_) host.manager->SetTeams(Table(), now_);
  }

  /// Sets the weights by which demand is divided among the hosts.
  void SetWeights(std::vector<double> weights) {
    weights_ = std::move(weights);
  }

  /// Runs for a time. `demand` is called with the seconds since the start of
  /// this run and returns requests per second of all hosts.
  void Run(Milliseconds time, const std::function<double(double)>& demand) {
    const MonoTime start = now_;
    const MonoTime end = now_ + time;
    while (now_ < end) {
      const std::chrono::duration<double> elapsed = now_ - start;
      Step(demand(elapsed.count()));
    }
  }

  /// Runs with a constant demand.
  void Run(Milliseconds time, double demand) {
    Run(time, [demand](double) { return demand; });
  }

  /// Starts to count refusals and admissions anew.
  void ResetCounts() { refused_ = admitted_ = 0; }

  /// Starts to look for the worst window anew.
  void ResetWorstWindow() { worst_window_ = 0; }

  std::uint64_t refused() const { return refused_; }
  std::uint64_t admitted() const { return admitted_; }
  std::uint64_t messages() const { return messages_; }

  /// Largest number of requests admitted in any window so far, as a share of
  /// the limit at its end.
  double worst_window() const { return worst_window_; }

  const QuotaManager& manager(std::size_t index) const {
    return *hosts_[index].manager;
  }

  MonoTime now() const { return now_; }

 private:
  struct Host {
    std::unique_ptr<QuotaLimiter> limiter{};
    std::unique_ptr<QuotaManager> manager{};
    std::uint64_t incarnation = 0;
    std::map<HostId, HostRecord> view{};
    std::map<std::size_t, MonoTime> unreachable_since{};
    MonoTime next_tick{};
    int group = 0;
    bool up = true;
  };

  static HostId Name(std::size_t index) {
    return HostId("host-" + std::to_string(index));
  }
  static std::size_t IndexOf(const HostId& host) {
    return std::stoul(host.value().substr(5));
  }
  static Endpoint Address(std::size_t index) {
    return {.address = "127.0.0.1",
            .port = static_cast<std::uint16_t>(1000 + index)};
  }

  TeamTable Table() const {
    return TeamTable({{.name = team_,
                       .requests_per_second = options_.quota.rate,
                       .burst = options_.quota.burst}});
  }

  bool Reaches(std::size_t from, std::size_t to) const {
    return hosts_[from].up && hosts_[to].up &&
           hosts_[from].group == hosts_[to].group;
  }

  void StartHost(std::size_t index) {
    Host& host = hosts_[index];
    host.up = true;
    ++host.incarnation;
    host.view.clear();
    host.unreachable_since.clear();
    host.manager.reset();
    host.limiter = std::make_unique<QuotaLimiter>(
        QuotaLimiter::Options{.random_seed = options_.seed * 1000 + index});
    host.manager = std::make_unique<QuotaManager>(QuotaManager::Options{
        .host = Name(index),
        .mesh = Address(index),
        .incarnation = host.incarnation,
        .with_limiter =
            [&host](const std::function<void(QuotaLimiter&)>& use) {
              use(*host.limiter);
            },
        .send_report =
            [this, index](const Endpoint& to, const QuotaReport& report) {
              const std::size_t target = to.port - 1000U;
              Deliver(index, target, [this, index, target, report] {
                hosts_[target].manager->OnReport(Address(index), report, now_);
              });
            },
        .send_grants =
            [this, index](const Endpoint& to, const QuotaGrants& grants) {
              const std::size_t target = to.port - 1000U;
              Deliver(index, target, [this, index, target, grants] {
                hosts_[target].manager->OnGrants(Address(index), grants, now_);
              });
            }});
    host.manager->SetTeams(Table(), now_);
    host.next_tick = now_ + Milliseconds(random_() % 100);
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      host.view[Name(other)] = {
          .host = Name(other), .incarnation = 1, .mesh = Address(other)};
    }
    host.manager->SetHosts(host.view, now_);
  }

  void Deliver(std::size_t from, std::size_t to, std::function<void()> action) {
    ++messages_;
    if (!Reaches(from, to)) return;
    const auto delay =
        Milliseconds(1 + random_() % static_cast<std::uint64_t>(
                                         options_.longest_delay.count()));
    in_flight_.emplace(now_ + delay, Message{from, to, std::move(action)});
  }

  void NoteReachability() {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (Reaches(from, to))
          hosts_[from].unreachable_since.erase(to);
        else
          hosts_[from].unreachable_since.try_emplace(to, now_);
      }
    }
  }

  void UpdateMembership() {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      Host& host = hosts_[index];
      if (!host.up) continue;
      bool changed = false;
      for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other == index) continue;
        HostStatus status = HostStatus::kAlive;
        const auto lost = host.unreachable_since.find(other);
        if (lost != host.unreachable_since.end()) {
          const auto silent = now_ - lost->second;
          if (silent > Milliseconds(11'500))
            status = HostStatus::kDead;
          else if (silent > Milliseconds(6'500))
            status = HostStatus::kSuspect;
        }
        HostRecord& record = host.view[Name(other)];
        if (record.status == status) continue;
        record.status = status;
        changed = true;
      }
      if (changed) host.manager->SetHosts(host.view, now_);
    }
  }

  void Step(double demand) {
    now_ += kStep;
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const Message message = in_flight_.begin()->second;
      in_flight_.erase(in_flight_.begin());
      if (Reaches(message.from, message.to)) message.action();
    }
    if (++steps_ % 10 == 0) UpdateMembership();
    owed_ += demand * std::chrono::duration<double>(kStep).count();
    for (; owed_ >= 1; owed_ -= 1) Request();
    for (Host& host : hosts_) {
      if (!host.up || now_ < host.next_tick) continue;
      host.next_tick += Milliseconds(100);
      host.manager->Tick(now_);
    }
    while (!window_.empty() && window_.front() <= now_ - kQuotaWindow)
      window_.pop_front();
    if (options_.quota.rate <= 0) return;
    worst_window_ =
        std::max(worst_window_, static_cast<double>(window_.size()) /
                                    options_.quota.WindowLimit());
  }

  void Request() {
    std::vector<double> weights(hosts_.size(), 1);
    if (!weights_.empty()) weights = weights_;
    for (std::size_t index = 0; index < hosts_.size(); ++index)
      if (!hosts_[index].up) weights[index] = 0;
    std::discrete_distribution<std::size_t> choose(weights.begin(),
                                                   weights.end());
    Host& host = hosts_[choose(random_)];
    if (host.limiter->Admit(team_, now_)) {
      ++refused_;
      return;
    }
    ++admitted_;
    window_.push_back(now_);
  }

  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    std::function<void()> action{};
  };

  Options options_;
  std::mt19937_64 random_;
  TeamName team_{"billing"};
  std::vector<Host> hosts_;
  std::vector<double> weights_{};
  std::multimap<MonoTime, Message> in_flight_{};
  std::deque<MonoTime> window_{};  ///< admissions of the last window
  MonoTime now_ = MonoTime{} + std::chrono::hours(1);
  std::uint64_t steps_ = 0;
  double owed_ = 0;
  double worst_window_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t admitted_ = 0;
  std::uint64_t messages_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_CORE_QUOTA_QUOTA_SIMULATION_H_
