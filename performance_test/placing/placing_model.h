#ifndef CAMPHORHILL_PERFORMANCE_TEST_PLACING_PLACING_MODEL_H_
#define CAMPHORHILL_PERFORMANCE_TEST_PLACING_PLACING_MODEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "core/base/time.h"
#include "core/routing/concurrency_limiter.h"
#include "core/routing/power_of_two_balancer.h"

namespace camphor {

/// Event-driven model of callers' hosts and targets without a network, driven
/// by an open-loop load.
///
/// Each host places requests with its own PowerOfTwoBalancer, and each target
/// admits them with its own ConcurrencyLimiter; only the clock, the service
/// times and the hops are modelled. Deterministic for the same options. Not
/// thread-safe.
class PlacingModel {
 public:
  /// A kind of request, with its own route.
  struct Kind {
    Milliseconds work{140};  ///< mean service time at speed 1
    double share = 1;        ///< share of all requests
  };

  struct Options {
    std::uint64_t seed = 1;
    std::uint32_t hosts = 60;    ///< callers' hosts, spread over the domains
    std::uint32_t domains = 3;   ///< failure domains
    std::uint32_t slots = 11;    ///< of each target
    std::uint32_t queue = 20;    ///< of each target
    std::vector<double> speeds;  ///< by target; target t is in domain t mod
                                 ///< domains
    std::vector<Kind> kinds{{}};
    double noise = 0.4;  ///< deviation of the logarithm of service times
    double load = 0.7;   ///< mean demand as a share of the capacity of all
    double wave = 0.4;   ///< amplitude of a domain's demand relative to its
                         ///< mean; the domains peak one after the other
    Seconds wave_period{20};
    Milliseconds objective{600};
    Milliseconds deadline{3000};
    std::uint32_t attempts = 3;
    Microseconds hop{500};          ///< one way within a domain
    Microseconds domain_hop{4000};  ///< one way to another domain
    double full_slowdown = 0.25;    ///< extra service time of every third
                                    ///< target when more than 3/4 full
    bool reports = true;  ///< false: the decision on own statistics alone
    Seconds duration{40};
    Seconds warm_up{5};  ///< requests that arrive earlier are not counted
  };

  /// Results of the requests that arrived within a time span.
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t in_time = 0;   ///< good response within the objective
    std::uint64_t late = 0;      ///< good response after the objective
    std::uint64_t refused = 0;   ///< refused by the last target that was asked
    std::uint64_t failed = 0;    ///< error response or deadline passed
    std::uint64_t attempts = 0;  ///< requests sent to targets
    std::uint64_t refusals = 0;  ///< of these, refused
    std::uint64_t crossed = 0;   ///< of these, to another failure domain
    std::uint64_t late_refusals =
        0;  ///< requests refused after the objective had passed

    double InTimeShare() const { return Share(in_time); }
    double LateShare() const { return Share(late); }
    double RefusedShare() const { return Share(refused); }
    double FailedShare() const { return Share(failed); }
    double CrossedShare() const {
      return attempts == 0
                 ? 0
                 : static_cast<double>(crossed) / static_cast<double>(attempts);
    }
    double Share(std::uint64_t part) const {
      return requests == 0
                 ? 0
                 : static_cast<double>(part) / static_cast<double>(requests);
    }
  };

  /// A target as modelled. May be changed by the events of a test.
  struct Target {
    double speed = 1;
    bool fails_fast = false;  ///< answers each request with an error in 5 ms
    bool up = true;           ///< false: refuses all, as its host is gone
    std::unique_ptr<ConcurrencyLimiter> limiter;
    std::uint64_t run = 0;       ///< raised by a restart
    std::uint64_t arrivals = 0;  ///< since the end of the warm-up
  };

  explicit PlacingModel(Options options);

  /// Calls `change` at a time after the start. @pre Run was not called.
  void At(Milliseconds time, std::function<void()> change);

  /// Starts a target anew: all it has learned is lost and its running requests
  /// fail.
  void Restart(std::uint32_t target);

  /// Removes a target from the routing of all hosts, as when its host is gone.
  void Remove(std::uint32_t target);

  /// Stops or resumes the callers.
  void SetDemand(double factor) { demand_factor_ = factor; }

  /// Runs for the configured duration and returns the counts. Call once.
  Counts Run();

  /// Counts of the requests that arrived in the given second after the start.
  Counts InSeconds(std::size_t from, std::size_t to) const;

  /// Share of the requests that could be served in time if the capacity
  /// (slots x speed / work) were used completely: an upper bound.
  double Bound() const;

  /// Arrivals of the busiest target relative to the mean over the targets.
  double BusiestShare() const;

  std::vector<Target>& targets() { return targets_; }
  MonoTime now() const { return now_; }
  const PowerOfTwoBalancer& balancer(std::uint32_t host) const {
    return *hosts_[host];
  }

 private:
  struct Request {
    std::uint32_t host = 0;
    std::uint32_t kind = 0;
    MonoTime arrival{};
    MonoTime sent{};
    EffectiveRoutingPtr routing{};  ///< that `tried` refers to
    std::vector<Placement> tried{};
    std::uint32_t attempts = 0;
    std::uint32_t target = 0;
    bool at_target = false;  ///< it has reached the target, which has not
                             ///< replied yet
    bool started = false;
    bool done = false;
    RequestOutcome outcome = RequestOutcome::kSuccess;
    Microseconds service{0};
    std::optional<LoadReport> report{};
  };
  struct Event {
    MonoTime time{};
    std::uint64_t order = 0;
    std::function<void()> run;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      if (left.time != right.time) return left.time > right.time;
      return left.order > right.order;
    }
  };

  void Schedule(MonoTime time, std::function<void()> run);
  void SetRoutings();
  double DemandPerS(std::uint32_t domain, MonoTime time) const;
  double CapacityPerS() const;
  double MeanWorkS() const;
  void ScheduleArrival(std::uint32_t domain);
  void Arrive(std::uint32_t domain);
  void Place(std::uint64_t id);
  void Reach(std::uint64_t id);
  void Start(std::uint64_t id);
  void Finish(std::uint64_t id);
  void ReplyFromTarget(std::uint64_t id, RequestOutcome outcome);
  void Receive(std::uint64_t id);
  void End(std::uint64_t id, std::uint64_t Counts::*result);
  Counts& CountsOf(const Request& request);
  Microseconds Hop(const Request& request) const;
  Urgency MakeUrgency(const Request& request, MonoTime now) const;

  Options options_;
  std::mt19937_64 random_;          ///< arrivals, the same for each decision
  std::mt19937_64 service_random_;  ///< service times
  std::vector<std::unique_ptr<PowerOfTwoBalancer>> hosts_;
  std::vector<Target> targets_;
  std::vector<bool> removed_;
  EffectiveRoutingPtr routing_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::vector<Request> requests_;
  std::vector<Counts> seconds_;
  MonoTime now_;
  std::uint64_t order_ = 0;
  double demand_factor_ = 1;
  double full_capacity_ = 0;
  double wanted_sum_ = 0;
  double served_sum_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_PLACING_PLACING_MODEL_H_
